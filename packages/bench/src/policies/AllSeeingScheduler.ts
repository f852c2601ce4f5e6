import { Ok } from 'ts-results';

import type Candidate from '@guavayard/core/routing/Candidate';
import type ScheduledAttempt from '@guavayard/core/scheduling/ScheduledAttempt';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';
import type WaitingAdmission from '@guavayard/core/scheduling/WaitingAdmission';

import type BenchEntryPlace from '../BenchEntryPlace';
import type Fleet from '../Fleet';

const MEAN_WORK_MS = 10;

interface Waiting extends WaitingAdmission {
  readonly place: BenchEntryPlace;
  readonly candidates: readonly Candidate[];
}

/**
 * One queue for all entries of a region with perfect knowledge of every target: each request
 * goes to a free slot, the one that is nearest and quickest at that moment, and to another region
 * once it has waited as long as the way there and back. It cannot be built; it is the mark
 * that the others are measured against.
 */
export default class AllSeeingScheduler {
  private readonly queues = new Map<string, Waiting[]>();

  constructor(private readonly fleet: Fleet) {
    fleet.targets.forEach((target) => {
      Object.assign(target, { onFree: () => this.queues.forEach((queue) => this.drain(queue)) });
    });
  }

  /**
   * @param place - an entry
   * @returns the scheduler's side for this entry
   */
  sideOf(place: BenchEntryPlace): Scheduler {
    const cache = new Map<string, Candidate[]>();
    return {
      schedule: (admission, onDecision) => {
        const { serviceName } = admission.match;
        const candidates = cache.get(serviceName)
          ?? this.fleet.candidatesOf(place, serviceName);
        cache.set(serviceName, candidates);
        return this.add({
          admission, onDecision, place, candidates, arrivedAtMs: this.fleet.clock.nowMs,
        });
      },
    };
  }

  private add(waiting: Waiting): ScheduledAttempt {
    const key = `${waiting.admission.match.serviceName}/${waiting.place.region}`;
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
    admission, place, candidates, arrivedAtMs,
  }: Waiting): Candidate | undefined {
    const { clock, profile } = this.fleet;
    const mayGoRemote = clock.nowMs - arrivedAtMs >= profile.remoteLatencyMs * 2;
    let best: Candidate | undefined;
    let bestMs = Infinity;
    candidates.forEach((candidate) => {
      const { id, slots } = candidate.target;
      const target = this.fleet.find(id);
      const isRemote = candidate.distance === 'remote';
      const taken = target.committed - (isRemote ? 0 : target.remoteUnderWay);
      if (taken >= slots || (isRemote && !mayGoRemote)) return;
      if (admission.triedTargetIds.includes(id)) return;
      const costMs = this.fleet.latencyMs(place, target) * 2 + target.slowFactor * MEAN_WORK_MS;
      if (costMs >= bestMs) return;
      best = candidate;
      bestMs = costMs;
    });
    return best;
  }
}
