import type { Server } from 'node:http';

/**
 * Longest wait for responses in progress by default, in milliseconds. It leaves calls to the
 * registry the time for their response, and is short against the grace period of a stop.
 */
const RESPONSE_LIMIT_MS = 2000;
/** Interval at which connections are closed that have become idle, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 100;

/**
 * Stops a server from accepting connections and waits until its last request has finished. Callers
 * are asked to close their connections, as a server whose clients go on using them never closes.
 *
 * @param server - the server to close
 * @param limitMs - longest wait for responses in progress, in milliseconds
 */
export default async function closeServer(
  server: Server,
  limitMs = RESPONSE_LIMIT_MS,
): Promise<void> {
  server.prependListener('request', (_req, res) => {
    res.shouldKeepAlive = false;
  });
  const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS);
  const limitTimer = setTimeout(() => server.closeAllConnections(), limitMs);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
  clearInterval(idleTimer);
  clearTimeout(limitTimer);
}
