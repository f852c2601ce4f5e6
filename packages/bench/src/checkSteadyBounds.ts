import type BoundCheck from './BoundCheck';
import type RunResult from './RunResult';

/** p99 may be this many times that of the all-seeing scheduler. */
const MAX_RATIO = 1.25;
const MAX_RATIO_LOAD = 0.85;
const SHARING_BYTES_PER_SECOND = 13_000;
const MAX_PROBE_SHARE = 0.01;
const MAX_HEDGE_SHARE = 0.05;

function checkOne(result: RunResult, others: readonly RunResult[]): BoundCheck[] {
  const at = `${result.user} at ${Math.round(result.load * 100)}%`;
  const same = others.filter(({ user, load }) => user === result.user && load === result.load);
  const baselines = same.filter(({ policy }) => policy !== 'all-seeing' && policy !== 'guavayard');
  const mark = same.find(({ policy }) => policy === 'all-seeing')?.p99Ms ?? 0;
  const checks = [
    {
      name: `${at}: p99 no worse than any baseline`,
      measured: result.p99Ms,
      limit: Math.min(...baselines.map(({ p99Ms }) => p99Ms)),
    },
    {
      name: `${at}: bytes of sharing a second`,
      measured: result.sharingBytesPerSecond,
      limit: SHARING_BYTES_PER_SECOND,
    },
    { name: `${at}: slot time for probes`, measured: result.probeShare, limit: MAX_PROBE_SHARE },
    { name: `${at}: hedges`, measured: result.hedgeShare, limit: MAX_HEDGE_SHARE },
  ];
  if (result.load > MAX_RATIO_LOAD) return checks;
  return [...checks, {
    name: `${at}: p99 at most ${MAX_RATIO} times the all-seeing scheduler's`,
    measured: result.p99Ms,
    limit: mark * MAX_RATIO,
  }];
}

/**
 * Lists the bounds of the runs without faults.
 *
 * @param results - results of all policies
 * @returns the bounds and what was measured
 */
export default function checkSteadyBounds(results: readonly RunResult[]): BoundCheck[] {
  return results
    .filter(({ policy }) => policy === 'guavayard')
    .flatMap((result) => checkOne(result, results));
}
