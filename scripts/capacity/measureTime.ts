import { performance } from 'node:perf_hooks';

const WARM_UP_ROUNDS = 2000;
const MICROSECONDS_PER_MS = 1000;

/**
 * Measures the mean time of a short computation.
 *
 * @param rounds - how often it is done
 * @param work - the computation; it is given the number of the round
 * @returns microseconds a round
 */
export default function measureTime(rounds: number, work: (round: number) => void): number {
  for (let round = 0; round < Math.min(rounds, WARM_UP_ROUNDS); round += 1) work(round);
  const startMs = performance.now();
  for (let round = 0; round < rounds; round += 1) work(round);
  return ((performance.now() - startMs) * MICROSECONDS_PER_MS) / rounds;
}
