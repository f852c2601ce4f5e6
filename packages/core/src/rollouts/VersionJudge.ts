import EvidenceSum from './EvidenceSum';
import judgeLimits from './judgeLimits';
import latencyBoundsMs from './latencyBoundsMs';
import ResponseTally from './ResponseTally';
import type RolloutCounts from './RolloutCounts';
import weighEvidence from './weighEvidence';

/** Responses that came since the last judgement. */
type Cell = Readonly<RolloutCounts['cells'][number]>;

/** Kind of bad responses. */
type Kind = keyof typeof judgeLimits.doubtLevels;

/** Evidence of one kind of bad responses, by what it is about. */
interface Evidence {
  readonly kind: Kind;
  /** Name of the route, undefined for all of them. */
  readonly route?: string;
  readonly level: number;
}

/** Responses of one kind from one data centre. */
interface Finding {
  readonly kind: Kind;
  readonly bad: number;
  readonly total: number;
  /** Share of bad responses of the versions in force. */
  readonly usualShare: number;
}

function createKey(...parts: readonly (string | number)[]): string {
  return JSON.stringify(parts);
}

function tallyOf(tallies: Map<string, ResponseTally>, key: string): ResponseTally {
  const known = tallies.get(key);
  if (known !== undefined) return known;
  const tally = new ResponseTally();
  tallies.set(key, tally);
  return tally;
}

/**
 * Judges the target version of a roll-out by its responses. It compares them with those of the
 * versions in force to the same route, from targets of the same data centre, at the same time, so
 * that a slow data centre or a burst of failures on both sides is no evidence. Failures and slow
 * responses are counted separately, over all routes and for each route.
 */
export default class VersionJudge {
  /** Evidence by kind, excess and route. */
  private readonly sums = new Map<string, EvidenceSum>();

  /** Responses of the versions in force, by route and data centre. */
  private readonly base = new Map<string, ResponseTally>();

  private readonly routes = new Map<string, ResponseTally>();

  private responses = 0;

  private excess = 0;

  private judgedAtMs: number | undefined;

  /** Number of responses of the target version that were judged. */
  get responseCount(): number {
    return this.responses;
  }

  /** Number of bad responses of the target version beyond the usual ones. */
  get excessCount(): number {
    return this.excess;
  }

  /** The strongest evidence against the target version; undefined before its first response. */
  get strongest(): Evidence | undefined {
    return this.list().sort((a, b) => b.level - a.level)[0];
  }

  /** Whether the target version is bad. */
  get isBad(): boolean {
    return (this.strongest?.level ?? 0) >= judgeLimits.alarmLevel;
  }

  /** Whether the target version may get all requests. */
  get isGood(): boolean {
    return this.responses >= judgeLimits.minResponses
      && this.list().every(({ kind, level }) => level < judgeLimits.doubtLevels[kind]);
  }

  /**
   * Adds the responses of an interval.
   *
   * @param cells - the responses that came since the last call
   * @param nowMs - monotonic clock, in milliseconds
   * @param isBaseKept - whether the versions in force get no more requests, so that what is known
   *   of them stays as it is: only their slowest responses are left to come
   */
  judge(cells: readonly Cell[], nowMs: number, isBaseKept = false): void {
    if (!isBaseKept) {
      this.age(nowMs);
      cells.filter(({ isTargetVersion }) => !isTargetVersion).forEach((cell) => {
        tallyOf(this.base, createKey(cell.route, cell.dataCentre)).add(cell);
        tallyOf(this.routes, cell.route).add(cell);
      });
    }
    const steps = new Map<string, number>();
    cells.filter(({ isTargetVersion }) => isTargetVersion).forEach((cell) => {
      this.assess(cell).forEach(({
        kind, bad, total, usualShare,
      }) => {
        this.excess += bad - total * usualShare;
        judgeLimits.excesses.forEach((excess) => {
          const evidence = weighEvidence(bad, total, usualShare, excess);
          [createKey(kind, excess), createKey(kind, excess, cell.route)].forEach((key) => (
            steps.set(key, (steps.get(key) ?? 0) + evidence)));
        });
      });
    });
    steps.forEach((evidence, key) => {
      const sum = this.sums.get(key) ?? new EvidenceSum();
      this.sums.set(key, sum);
      sum.add(evidence);
    });
  }

  private list(): Evidence[] {
    return [...this.sums].map(([key, { level }]) => {
      const [kind, , route] = JSON.parse(key) as [Kind, number, string | undefined];
      return { kind, ...(route === undefined ? {} : { route }), level };
    });
  }

  /** Compares the responses of the target version with those of the versions in force. */
  private assess(cell: Cell): Finding[] {
    const route = this.routes.get(cell.route);
    if (route === undefined || route.total < judgeLimits.minBaseResponses) return [];
    const usual = new ResponseTally();
    const near = this.base.get(createKey(cell.route, cell.dataCentre));
    if (near !== undefined) usual.merge(near, 1);
    usual.merge(route, judgeLimits.priorResponses / route.total);
    const good = cell.latencies.reduce((sum, count) => sum + count, 0);
    const total = good + cell.failed;
    this.responses += total;
    const failedShare = Math.max(judgeLimits.minFailedShare, usual.failedCount / usual.total);
    const failures: Finding = {
      kind: 'failures', bad: cell.failed, total, usualShare: failedShare,
    };
    const slowFromMs = (usual.medianMs ?? Infinity) * judgeLimits.slowFactor;
    const first = latencyBoundsMs.findIndex((boundMs) => boundMs >= slowFromMs) + 1;
    // The usual latency is unknown, or slow responses would lie beyond the last bucket.
    if (first === 0) return [failures];
    const slow = cell.latencies.slice(first).reduce((sum, count) => sum + count, 0);
    const share = Math.max(judgeLimits.minSlowShare, usual.countFrom(first) / usual.good);
    // Many responses are slow at times, and of those in force only some are known.
    const error = Math.sqrt((share * (1 - share)) / usual.good);
    const usualShare = share + judgeLimits.slowShareErrors * error;
    return [failures, {
      kind: 'latency', bad: slow, total: good, usualShare,
    }];
  }

  private age(nowMs: number): void {
    const passedMs = nowMs - (this.judgedAtMs ?? nowMs);
    this.judgedAtMs = nowMs;
    const factor = 0.5 ** (passedMs / judgeLimits.baseHalfLifeMs);
    [...this.base.values(), ...this.routes.values()].forEach((tally) => tally.scale(factor));
  }
}
