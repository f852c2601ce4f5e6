import { performance } from 'node:perf_hooks';

const WARM_UP_ROUNDS = 2000;
const MICROSECONDS_PER_MS = 1000;

/**
 * Measures the mean duration of a short computation, after a warm-up.
 *
 * @param rounds - number of measured rounds
 * @param work - the computation, called with the index of the round
 * @returns microseconds per round
 */
export default function measureTime(rounds: number, work: (round: number) => void): number {
  for (let round = 0; round < Math.min(rounds, WARM_UP_ROUNDS); round += 1) work(round);
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) work(round);
  return ((performance.now() - startMs) * MICROSECONDS_PER_MS) / rounds;
}
