import type { Result } from 'ts-results';

import type Failure from '../../src/errors/Failure';
import type Candidate from '../../src/routing/Candidate';
import type Admission from '../../src/scheduling/Admission';
import type Assignment from '../../src/scheduling/Assignment';
import type AttemptResult from '../../src/scheduling/AttemptResult';
import defaultOptions from '../../src/scheduling/defaultOptions';
import LoadAwareScheduler from '../../src/scheduling/LoadAwareScheduler';
import type SchedulingOptions from '../../src/scheduling/SchedulingOptions';
import type KnownTarget from '../../src/types/KnownTarget';

const GOOD: AttemptResult = { evidence: 'answered', status: 200, loadHeader: undefined };
const SEED_STEP = 0.37;

/** A scheduler whose clock, random numbers and candidates a test sets. */
export default class SchedulerRig {
  nowMs = 1000;

  candidates: Candidate[] = [];

  readonly warm: string[] = [];

  readonly scheduler: LoadAwareScheduler;

  private chance = 0;

  constructor(entryName = 'entry-1', options: Partial<SchedulingOptions> = {}) {
    this.scheduler = new LoadAwareScheduler({
      entryName,
      clock: () => this.nowMs,
      random: () => {
        this.chance = (this.chance + SEED_STEP) % 1;
        return this.chance;
      },
      findCandidates: () => this.candidates,
      listener: { onWarm: ({ id }) => this.warm.push(id) },
    }, { ...defaultOptions, targetQueue: 0, ...options });
  }

  /**
   * Adds a target of 2 slots.
   *
   * @param id - its id
   * @param change - what differs from a ready target in the own data centre
   * @param distance - where it stands
   */
  addTarget(
    id: string,
    change: Partial<KnownTarget> = {},
    distance: Candidate['distance'] = 'data-centre',
  ): void {
    const target: KnownTarget = {
      id,
      service: 'listing',
      dataCentre: 'munster-1',
      address: '127.0.0.1:1',
      slots: 2,
      connectionLimit: 260,
      startId: 'start-1',
      state: 'ready',
      timeToLiveMs: 1000,
      owner: undefined,
      ...change,
    };
    this.candidates.push({ target, distance });
  }

  /**
   * Schedules one attempt.
   *
   * @param change - what differs from a first attempt with a deadline in a second
   * @returns the decisions given so far; the array grows while the attempt waits
   */
  schedule(change: Partial<Admission> = {}): Result<Assignment, Failure>[] {
    const decisions: Result<Assignment, Failure>[] = [];
    this.scheduler.schedule({
      match: {
        routeName: 'lots',
        serviceName: 'listing',
        service: { timeoutMs: 1000 },
        homeRegions: undefined,
      },
      deadlineMs: this.nowMs + 1000,
      isIdempotent: true,
      purpose: 'first',
      triedTargetIds: [],
      ...change,
    }, (decision) => decisions.push(decision));
    return decisions;
  }

  /**
   * Schedules one attempt that must be assigned at once.
   *
   * @param change - as for `schedule`
   * @returns the assignment
   */
  assign(change: Partial<Admission> = {}): Assignment {
    const [decision] = this.schedule(change);
    if (decision === undefined) throw new Error('the attempt waits');
    return decision.unwrap();
  }

  /**
   * Runs one attempt to its end.
   *
   * @param latencyMs - how long it takes
   * @param result - how it ends
   * @returns id of its target
   */
  run(latencyMs: number, result: Partial<AttemptResult> = {}): string {
    const assignment = this.assign();
    this.nowMs += latencyMs;
    assignment.finish({ ...GOOD, ...result });
    return assignment.target.id;
  }
}
