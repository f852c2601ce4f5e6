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
const RANDOM_STEP = 0.37;

/** Scheduler under test, with a controlled clock, random numbers and candidates. */
export default class SchedulerRig {
  nowMs = 1000;

  candidates: Candidate[] = [];

  readonly warm: string[] = [];

  readonly scheduler: LoadAwareScheduler;

  private randomValue = 0;

  constructor(entryName = 'entry-1', options: Partial<SchedulingOptions> = {}) {
    this.scheduler = new LoadAwareScheduler({
      entryName,
      clock: () => this.nowMs,
      random: () => {
        this.randomValue = (this.randomValue + RANDOM_STEP) % 1;
        return this.randomValue;
      },
      findCandidates: () => this.candidates,
      listener: { onWarm: ({ id }) => this.warm.push(id) },
    }, { ...defaultOptions, targetQueue: 0, ...options });
  }

  /**
   * Adds a target of 2 slots.
   *
   * @param id - its id
   * @param change - properties that differ from a ready target
   * @param distance - its distance from the entry
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
   * @param change - properties that differ from a first attempt with a deadline in one second
   * @returns the decisions so far; a decision on a queued attempt is added later
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
   * Schedules one attempt that must be assigned immediately.
   *
   * @param change - same as for `schedule`
   * @returns the assignment
   * @throws if the attempt is queued or fails
   */
  assign(change: Partial<Admission> = {}): Assignment {
    const [decision] = this.schedule(change);
    if (decision === undefined) throw new Error('the attempt was queued instead of assigned');
    return decision.unwrap();
  }

  /**
   * Schedules one attempt and finishes it.
   *
   * @param latencyMs - duration of the attempt, in milliseconds
   * @param result - properties that differ from a successful result
   * @returns id of its target
   */
  run(latencyMs: number, result: Partial<AttemptResult> = {}): string {
    const assignment = this.assign();
    this.nowMs += latencyMs;
    assignment.finish({ ...GOOD, ...result });
    return assignment.target.id;
  }
}
