import { performance } from 'node:perf_hooks';

import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

import type LatencySample from './LatencySample';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const MAX_MICROSECONDS = 60_000_000;
const CONNECTIONS = 64;

async function sendOnce(pool: Pool, path: string): Promise<boolean> {
  const response = await pool.request({ method: 'GET', path });
  await response.body.dump({ limit: Number.MAX_SAFE_INTEGER });
  return response.statusCode === 200;
}

/**
 * Sends requests at a constant rate, independently of responses (open loop), and records their
 * latencies.
 *
 * @param address - IP address and port to send to
 * @param path - path of every request
 * @param ratePerSecond - requests per second
 * @param durationMs - how long to send, in milliseconds
 * @returns the latencies, measured from the scheduled start of each request
 */
export default async function measureLatency(
  address: string,
  path: string,
  ratePerSecond: number,
  durationMs: number,
): Promise<LatencySample> {
  const pool = new Pool(`http://${address}`, { connections: CONNECTIONS, pipelining: 1 });
  const histogram = build({ highestTrackableValue: MAX_MICROSECONDS });
  const pending = new Set<Promise<void>>();
  const total = Math.floor((ratePerSecond * durationMs) / MS_PER_SECOND);
  let failures = 0;
  let sent = 0;

  const send = (dueMs: number): void => {
    const done = sendOnce(pool, path).catch(() => false).then((isOk) => {
      if (!isOk) failures += 1;
      histogram.recordValue(Math.round((performance.now() - dueMs) * MICROSECONDS_PER_MS));
      pending.delete(done);
    });
    pending.add(done);
  };

  const startMs = performance.now();
  await new Promise<void>((resolve) => {
    const tick = (): void => {
      while (sent < total) {
        const dueMs = startMs + (sent * MS_PER_SECOND) / ratePerSecond;
        if (dueMs > performance.now()) break;
        send(dueMs);
        sent += 1;
      }
      if (sent < total) setImmediate(tick);
      else resolve();
    };
    tick();
  });
  await Promise.all(pending);
  await pool.close();
  return {
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    p999: histogram.getValueAtPercentile(99.9),
    requests: total,
    failures,
  };
}
