import { Ok } from 'ts-results';

import type Candidate from '@guavayard/core/routing/Candidate';
import type ScheduledAttempt from '@guavayard/core/scheduling/ScheduledAttempt';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';
import type WaitingAdmission from '@guavayard/core/scheduling/WaitingAdmission';

import type BenchEntryLocation from '../BenchEntryLocation';
import type Fleet from '../Fleet';

const MEAN_WORK_MS = 10;

interface Waiting extends WaitingAdmission {
  readonly location: BenchEntryLocation;
  readonly candidates: readonly Candidate[];
}

/**
 * Oracle scheduler with one queue per service and region and perfect knowledge of every target. It
 * assigns each request to the free slot with the lowest network latency plus service time, and
 * considers other regions once the request has waited for a round trip to them. It can't be
 * implemented in practice and serves as the reference for the other policies.
 */
export default class AllSeeingScheduler {
  private readonly queues = new Map<string, Waiting[]>();

  constructor(private readonly fleet: Fleet) {
    fleet.targets.forEach((target) => {
      Object.assign(target, { onFree: () => this.queues.forEach((queue) => this.drain(queue)) });
    });
  }

  /**
   * Returns a view of the shared scheduler for one entry.
   *
   * @param location - the location of the entry
   * @returns the scheduler of the entry
   */
  forEntry(location: BenchEntryLocation): Scheduler {
    const cache = new Map<string, Candidate[]>();
    return {
      schedule: (admission, onDecision) => {
        const { serviceName } = admission.match;
        const candidates = cache.get(serviceName)
          ?? this.fleet.candidatesOf(location, serviceName);
        cache.set(serviceName, candidates);
        return this.add({
          admission, onDecision, location, candidates, arrivedAtMs: this.fleet.clock.nowMs,
        });
      },
    };
  }

  private add(waiting: Waiting): ScheduledAttempt {
    const key = `${waiting.admission.match.serviceName}/${waiting.location.region}`;
    const queue = this.queues.get(key) ?? [];
    this.queues.set(key, queue);
    queue.push(waiting);
    this.drain(queue);
    return {
      cancel: () => {
        const index = queue.indexOf(waiting);
        if (index >= 0) queue.splice(index, 1);
      },
    };
  }

  private drain(queue: Waiting[]): void {
    for (;;) {
      const waiting = queue[0];
      const candidate = waiting === undefined ? undefined : this.findFree(waiting);
      if (waiting === undefined || candidate === undefined) return;
      queue.shift();
      waiting.onDecision(Ok({ target: candidate.target, relayTo: undefined, finish() {} }));
    }
  }

  private findFree({
    admission, location, candidates, arrivedAtMs,
  }: Waiting): Candidate | undefined {
    const { clock, profile } = this.fleet;
    const mayGoRemote = clock.nowMs - arrivedAtMs >= profile.remoteLatencyMs * 2;
    let best: Candidate | undefined;
    let bestMs = Infinity;
    candidates.forEach((candidate) => {
      const { id, slots } = candidate.target;
      const target = this.fleet.find(id);
      const isRemote = candidate.distance === 'remote';
      const takenSlots = target.outstanding - (isRemote ? 0 : target.remoteInTransit);
      if (takenSlots >= slots || (isRemote && !mayGoRemote)) return;
      if (admission.triedTargetIds.includes(id)) return;
      const costMs = this.fleet.latencyMs(location, target) * 2 + target.slowFactor * MEAN_WORK_MS;
      if (costMs >= bestMs) return;
      best = candidate;
      bestMs = costMs;
    });
    return best;
  }
}
