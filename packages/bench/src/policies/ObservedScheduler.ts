import { Ok } from 'ts-results';

import type Admission from '@guavayard/core/scheduling/Admission';
import type Assignment from '@guavayard/core/scheduling/Assignment';
import type ScheduledAttempt from '@guavayard/core/scheduling/ScheduledAttempt';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';
import type Clock from '@guavayard/core/types/Clock';

import type ObservedLoads from './ObservedLoads';

/** Wraps a scheduler and records the results of its attempts in {@link ObservedLoads}. */
export default class ObservedScheduler implements Scheduler {
  constructor(
    private readonly inner: Scheduler,
    private readonly loads: ObservedLoads,
    private readonly clock: Clock,
  ) {}

  schedule(
    admission: Admission,
    onDecision: Parameters<Scheduler['schedule']>[1],
  ): ScheduledAttempt {
    return this.inner.schedule(admission, (decision) => {
      onDecision(decision.ok ? Ok(this.observe(decision.val)) : decision);
    });
  }

  private observe(assignment: Assignment): Assignment {
    const startedAtMs = this.clock();
    return {
      ...assignment,
      finish: (result) => {
        this.loads.record(assignment.target.id, result, this.clock() - startedAtMs);
        assignment.finish(result);
      },
    };
  }
}
