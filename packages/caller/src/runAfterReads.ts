import type { IncomingMessage, ServerResponse } from 'node:http';

import MAX_KEPT_BYTES from './maxKeptBytes';

/** Returns whether the connection can still be written to while the rest of a body is discarded. */
function isSmall({ complete, headers }: IncomingMessage): boolean {
  return complete || Number(headers['content-length'] ?? Infinity) <= MAX_KEPT_BYTES;
}

/**
 * Runs an action that responds at once or, if the response would end the connection, once requests
 * have been read that arrived behind it: what calls this may be a timer that is late.
 *
 * @param res - the response, not started yet
 * @param run - writes the response; not called if the response has started or ended meanwhile
 */
export default function runAfterReads(res: ServerResponse, run: () => void): void {
  if (res.shouldKeepAlive || !isSmall(res.req)) {
    run();
    return;
  }
  setImmediate(() => {
    if (!res.headersSent && !res.destroyed) run();
  });
}
