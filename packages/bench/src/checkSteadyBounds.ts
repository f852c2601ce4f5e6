import type BoundCheck from './BoundCheck';
import type RunResult from './RunResult';

/** Largest allowed ratio of p99 to that of the all-seeing scheduler. */
const MAX_RATIO = 1.25;
/** The ratio is checked up to this load. */
const MAX_RATIO_LOAD = 0.85;
const SHARING_BYTES_PER_SECOND = 13_000;
const MAX_PROBE_SHARE = 0.01;
const MAX_HEDGE_SHARE = 0.05;

function checkResult(result: RunResult, others: readonly RunResult[]): BoundCheck[] {
  const scenario = `${result.user} at ${Math.round(result.load * 100)}%`;
  const peers = others.filter(({ user, load }) => user === result.user && load === result.load);
  const baselines = peers.filter(({ policy }) => policy !== 'all-seeing' && policy !== 'guavayard');
  const reference = peers.find(({ policy }) => policy === 'all-seeing')?.p99Ms ?? 0;
  const checks = [
    {
      name: `${scenario}: p99 no worse than any baseline`,
      measured: result.p99Ms,
      limit: Math.min(...baselines.map(({ p99Ms }) => p99Ms)),
    },
    {
      name: `${scenario}: bytes of sharing a second`,
      measured: result.sharingBytesPerSecond,
      limit: SHARING_BYTES_PER_SECOND,
    },
    { name: `${scenario}: slot time for probes`, measured: result.probeShare, limit: MAX_PROBE_SHARE },
    { name: `${scenario}: hedges`, measured: result.hedgeShare, limit: MAX_HEDGE_SHARE },
  ];
  if (result.load > MAX_RATIO_LOAD) return checks;
  return [...checks, {
    name: `${scenario}: p99 at most ${MAX_RATIO} times the all-seeing scheduler's`,
    measured: result.p99Ms,
    limit: reference * MAX_RATIO,
  }];
}

/**
 * Lists the bounds for the runs without faults.
 *
 * @param results - results of all policies
 * @returns the limits with the measured values
 */
export default function checkSteadyBounds(results: readonly RunResult[]): BoundCheck[] {
  return results
    .filter(({ policy }) => policy === 'guavayard')
    .flatMap((result) => checkResult(result, results));
}
