import type { TestContext } from 'node:test';

import createRandom from '@guavayard/core/utils/createRandom';

import GatewayRig from './GatewayRig';

const TARGETS = 12;
const WORK_MS = 100;
const TARGET_LATENCY_MS = 300;
const SLOWNESS = 5;
/** Mean length of the slow phases. */
const SLOW_MS = 150;
/** Mean time between slow phases, so that targets are slow for a quarter of the time. */
const MEAN_GAP_MS = 450;
const PROBES_PER_S = 60;
/** Requests from which the usual duration is learnt. */
const WARM_UP_REQUESTS = 40;

interface HedgingOptions {
  /** Hedges for each first request; undefined to hedge nothing. */
  readonly share: number | undefined;
  /** Whether a slow phase slows running requests, rather than those that start in it. */
  readonly isProgressive: boolean;
  /** Whether the lengths of the slow phases vary, exponentially, or are all the same. */
  readonly hasVariedPhases: boolean;
  /** Requests per second of this entry. */
  readonly ratePerS: number;
  /** Entries that share the probes and the slack of the retry budget. */
  readonly entries: number;
  readonly requests: number;
  readonly seed: number;
}

interface HedgingFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  /** Share of requests answered after the target latency, or not at all. */
  readonly lateShare: number;
  /** Requests that reached targets beyond one for each request, as a share of the requests. */
  readonly addedWork: number;
  /** Hedges for each request. */
  readonly hedgeShare: number;
  readonly probesPerRequest: number;
  /** Requests by what came of hedging them. */
  readonly outcomes: Readonly<Record<string, number>>;
}

/**
 * Plays an entry with few requests whose targets are slowed for a quarter of the time, each on its
 * own, in phases of 150 ms. Aborted requests hold their slots until their work is done.
 *
 * @param t - the test, whose timers are mocked
 * @param options - how it hedges, and the load
 * @returns latencies and work, the same for the same seed
 */
export default function measureHedging(t: TestContext, options: HedgingOptions): HedgingFigures {
  const {
    share, isProgressive, hasVariedPhases, ratePerS, entries, requests, seed,
  } = options;
  const random = createRandom(seed);
  const phases = createRandom(seed + 1);
  const traffic = createRandom(seed + 2);
  const sampleMs = (meanMs: number, next: () => number): number => -meanMs * Math.log(1 - next());
  const rig = new GatewayRig(t, {
    targetLatencyMs: TARGET_LATENCY_MS, timeoutMs: 2000, maxAttempts: 3,
  }, PROBES_PER_S, share);
  rig.random = random;
  rig.pool.setEntries(Array.from({ length: entries }, (_, index) => (
    { name: `entry-${index + 1}`, region: 'near' })));
  const changes = Array.from({ length: TARGETS }, (_, index) => ({
    target: rig.addTarget(`t-${index}`, { workMs: WORK_MS, isProgressive, probeMs: 8 }),
    atMs: sampleMs(MEAN_GAP_MS, phases),
  }));
  let sent = 0;
  let nextMs = 0;
  let nowMs = 0;
  const changePhases = (): void => changes.filter(({ atMs }) => atMs <= nowMs).forEach((change) => {
    const state = change;
    const { target } = change;
    target.slowness = target.slowness === 1 ? SLOWNESS : 1;
    const slowMs = hasVariedPhases ? sampleMs(SLOW_MS, phases) : SLOW_MS;
    state.atMs += target.slowness === 1 ? sampleMs(MEAN_GAP_MS, phases) : slowMs;
  });
  const run = (untilCount: number): void => {
    while (sent < untilCount) {
      changePhases();
      if (nowMs >= nextMs) {
        rig.request();
        sent += 1;
        nextMs += sampleMs(1000 / ratePerS, traffic);
      }
      rig.run(1);
      nowMs += 1;
    }
  };
  run(WARM_UP_REQUESTS);
  rig.run(2000);
  sent = 0;
  rig.lines.splice(0);
  rig.sender.sent.splice(0);
  const probesBefore = rig.sender.probes;
  run(requests);
  rig.run(2000);
  t.mock.timers.reset();
  const latencies = rig.lines.map(({ status, ms }) => (status === 200 ? ms : Infinity))
    .sort((a, b) => a - b);
  const quantile = (of: number): number => (
    latencies[Math.min(requests - 1, Math.floor(of * requests))] ?? Infinity);
  const outcomes: Record<string, number> = {};
  rig.lines.forEach(({ hedge }) => {
    if (hedge !== undefined) outcomes[hedge] = (outcomes[hedge] ?? 0) + 1;
  });
  const hedges = rig.lines.flatMap(({ attempts }) => attempts)
    .filter(({ isHedge }) => isHedge).length;
  return {
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    p999Ms: quantile(0.999),
    lateShare: latencies.filter((ms) => ms > TARGET_LATENCY_MS).length / requests,
    addedWork: rig.sender.sent.length / requests - 1,
    hedgeShare: hedges / requests,
    probesPerRequest: (rig.sender.probes - probesBefore) / requests,
    outcomes,
  };
}
