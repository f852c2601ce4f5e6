import { performance } from 'node:perf_hooks';

import { Pool } from 'undici';

const MS_PER_SECOND = 1000;

/**
 * Sends requests as fast as the answers come.
 *
 * @param address - where to, IP number and port
 * @param path - path of every request
 * @param concurrency - requests under way at any time
 * @param durationMs - how long to send
 * @returns answers a second
 */
export default async function measureCapacity(
  address: string,
  path: string,
  concurrency: number,
  durationMs: number,
): Promise<number> {
  const pool = new Pool(`http://${address}`, { connections: concurrency, pipelining: 1 });
  const startMs = performance.now();
  const endMs = startMs + durationMs;
  let answers = 0;
  const sendInTurn = async (): Promise<void> => {
    const answer = await pool.request({ method: 'GET', path });
    await answer.body.dump({ limit: Number.MAX_SAFE_INTEGER });
    answers += 1;
    if (performance.now() < endMs) await sendInTurn();
  };
  await Promise.all(Array.from({ length: concurrency }, sendInTurn));
  const elapsedMs = performance.now() - startMs;
  await pool.close();
  return (answers * MS_PER_SECOND) / elapsedMs;
}
