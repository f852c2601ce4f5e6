import { performance } from 'node:perf_hooks';

import { Pool } from 'undici';

const MS_PER_SECOND = 1000;

/**
 * Measures throughput with a fixed number of concurrent requests (closed loop).
 *
 * @param address - IP address and port to send to
 * @param path - path of every request
 * @param concurrency - number of concurrent requests
 * @param durationMs - how long to send, in milliseconds
 * @returns responses per second
 */
export default async function measureThroughput(
  address: string,
  path: string,
  concurrency: number,
  durationMs: number,
): Promise<number> {
  const pool = new Pool(`http://${address}`, { connections: concurrency, pipelining: 1 });
  const startMs = performance.now();
  const endMs = startMs + durationMs;
  let responses = 0;
  const sendRepeatedly = async (): Promise<void> => {
    const response = await pool.request({ method: 'GET', path });
    await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
    responses += 1;
    if (performance.now() < endMs) await sendRepeatedly();
  };
  await Promise.all(Array.from({ length: concurrency }, sendRepeatedly));
  const elapsedMs = performance.now() - startMs;
  await pool.close();
  return (responses * MS_PER_SECOND) / elapsedMs;
}
