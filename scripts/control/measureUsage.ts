import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type ProcessUsage from './ProcessUsage';
import readCounters from './readCounters';

const MS_PER_SECOND = 1000;

/**
 * Measures the resource usage of processes over a period.
 *
 * @param pids - ids of the processes
 * @param durationMs - duration of the measurement, in milliseconds
 * @returns the usage of each process, in the same order
 */
export default async function measureUsage(
  pids: readonly number[],
  durationMs: number,
): Promise<ProcessUsage[]> {
  const startMs = performance.now();
  const before = pids.map(readCounters);
  await sleep(durationMs);
  const seconds = (performance.now() - startMs) / MS_PER_SECOND;
  return pids.map(readCounters).map((counters, index) => {
    const { cpuSeconds = 0, transferredBytes = 0 } = before[index] ?? {};
    return {
      cpuShare: (counters.cpuSeconds - cpuSeconds) / seconds,
      residentBytes: counters.residentBytes,
      bytesPerSecond: (counters.transferredBytes - transferredBytes) / seconds,
    };
  });
}
