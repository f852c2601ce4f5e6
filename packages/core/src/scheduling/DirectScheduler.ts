import { Ok, type Result } from 'ts-results';

import type TargetChooser from '../choice/TargetChooser';
import fail from '../errors/fail';
import type Failure from '../errors/Failure';
import type Candidate from '../routing/Candidate';
import type Admission from './Admission';
import type Assignment from './Assignment';
import type ScheduledAttempt from './ScheduledAttempt';
import type Scheduler from './Scheduler';

/** Assigns targets immediately, without limits or a queue. */
export default class DirectScheduler implements Scheduler {
  private readonly inFlight = new Map<string, number>();

  /**
   * @param findCandidates - finds the targets that may serve an attempt
   * @param createChooser - creates the policy, given the number of requests in flight by target
   */
  constructor(
    private readonly findCandidates: (admission: Admission) => readonly Candidate[],
    createChooser: (countInFlight: (targetId: string) => number) => TargetChooser,
  ) {
    this.chooser = createChooser((targetId) => this.inFlight.get(targetId) ?? 0);
  }

  private readonly chooser: TargetChooser;

  schedule(
    admission: Admission,
    onDecision: (decision: Result<Assignment, Failure>) => void,
  ): ScheduledAttempt {
    const candidates = this.findCandidates(admission)
      .filter((candidate) => !admission.triedTargetIds.includes(candidate.target.id));
    const chosen = this.chooser.choose(candidates);
    if (chosen === undefined) onDecision(fail('noTarget', `service "${admission.match.serviceName}"`));
    else onDecision(Ok(this.assign(chosen)));
    return { cancel() {} };
  }

  private assign({ target }: Candidate): Assignment {
    this.addInFlight(target.id, 1);
    return { target, relayTo: undefined, finish: () => this.addInFlight(target.id, -1) };
  }

  private addInFlight(targetId: string, change: number): void {
    this.inFlight.set(targetId, (this.inFlight.get(targetId) ?? 0) + change);
  }
}
