import findLatencyBucket from '../../src/rollouts/findLatencyBucket';
import latencyBoundsMs from '../../src/rollouts/latencyBoundsMs';
import planRollout from '../../src/rollouts/planRollout';
import VersionJudge from '../../src/rollouts/VersionJudge';
import type Random from '../../src/types/Random';

const TICK_MS = 250;
const STEP_MS = 10;
const MS_PER_SECOND = 1000;
const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e', 'f'];

/** A response of a modelled target. */
interface ModelResponse {
  readonly hasFailed: boolean;
  readonly latencyMs: number;
}

/** What a request of the model is. */
interface ModelRequest {
  readonly atMs: number;
  readonly route: string;
  readonly dataCentre: string;
  readonly isTargetVersion: boolean;
}

interface ModelOptions {
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  readonly routes: readonly string[];
  readonly random: Random;
  readonly respond: (request: ModelRequest) => ModelResponse;
}

/** How a roll-out of the model ended, and when. */
interface ModelOutcome {
  readonly kind: 'rolled back' | 'doubted' | 'switched';
  readonly atMs: number;
  /** Bad responses of the target version until then. */
  readonly badCount: number;
}

interface Pending {
  readonly endsAtMs: number;
  readonly request: ModelRequest;
  readonly response: ModelResponse;
}

function createCell({ request, response: { hasFailed, latencyMs } }: Pending) {
  const { route, dataCentre, isTargetVersion } = request;
  const latencies = latencyBoundsMs.map(() => 0).concat(0);
  if (!hasFailed) latencies[findLatencyBucket(latencyMs)] = 1;
  return {
    route, dataCentre, isTargetVersion, failed: Number(hasFailed), latencies,
  };
}

/** Runs a roll-out without a network until the version is taken back or gets all requests. */
export default function runRolloutModel({
  durationMs, requestsPerSecond, routes, random, respond,
}: ModelOptions): ModelOutcome {
  const plan = planRollout(durationMs, 0.1);
  const judge = new VersionJudge();
  let pending: Pending[] = [];
  let ended: Pending[] = [];
  let credit = random();
  let arrivals = 0;
  let badCount = 0;
  // Requests that were sent before the order are in flight.
  for (let nowMs = -3000; nowMs < plan.switchAtMs; nowMs += STEP_MS) {
    arrivals += 2 * random() * requestsPerSecond * (STEP_MS / MS_PER_SECOND);
    for (; arrivals >= 1; arrivals -= 1) {
      credit += nowMs < 0 ? 0 : plan.canaryShare;
      const isTargetVersion = credit >= 1;
      if (isTargetVersion) credit -= 1;
      const request = {
        atMs: nowMs,
        route: routes[Math.floor(random() * routes.length)] ?? '',
        dataCentre: DATA_CENTRES[Math.floor(random() * DATA_CENTRES.length)] ?? '',
        isTargetVersion,
      };
      const response = respond(request);
      pending.push({ endsAtMs: nowMs + response.latencyMs, request, response });
    }
    ended.push(...pending.filter(({ endsAtMs }) => endsAtMs <= nowMs));
    pending = pending.filter(({ endsAtMs }) => endsAtMs > nowMs);
    if (nowMs >= 0 && nowMs % TICK_MS === 0) {
      badCount += ended.filter(({ request: { isTargetVersion }, response: { hasFailed } }) => (
        isTargetVersion && hasFailed)).length;
      judge.judge(ended.map(createCell), nowMs);
      if (judge.isBad) return { kind: 'rolled back', atMs: nowMs, badCount };
      ended = [];
    } else if (nowMs < 0) ended = [];
  }
  return { kind: judge.isGood ? 'switched' : 'doubted', atMs: plan.switchAtMs, badCount };
}
