import type RequestLimit from '../requestLimit/RequestLimit';
import type TargetRest from '../rest/TargetRest';
import type RegisteredTarget from '../registry/RegisteredTarget';
import type LoadReading from './LoadReading';

/** State that one entry keeps about a target that it may send to. */
interface PlacedTarget {
  record: RegisteredTarget;
  /** Region of the target's data centre. */
  readonly region: string;
  /** Rank of the target for this entry; each entry prefers targets in a different order. */
  readonly affinity: number;
  /** Requests of this entry in flight to the target, with the times when they were sent. */
  readonly inFlight: Set<{ readonly sentAtMs: number }>;
  reading: LoadReading | undefined;
  coldUntilMs: number;
  /** Send times of the requests of the last second to the target, and of some before. */
  recentSends: number[];
  /** End of the ejection of the target, which failed too often; it gets no requests before. */
  ejectedUntilMs: number;
  ejections: number;
  /** Until when the target is not considered, as it did not answer; an answer ends it. */
  unreachableUntilMs: number;
  /** Share of failures among recent responses, from 0 to 1. */
  failureShare: number;
  /** Share of recent requests that the target refused to run, from 0 to 1, at `rejectShareAtMs`. */
  rejectShare: number;
  rejectShareAtMs: number;
  /** Limit on requests that the target has named; undefined without one. */
  requestLimit: RequestLimit | undefined;
  /** The time for which the target wants to be left alone; undefined if it has asked for none. */
  rest: TargetRest | undefined;
  /**
   * How the target says that it is about to leave; undefined if it does not. It holds for this
   * incarnation, unless a probe withdraws what an earlier one has said.
   */
  leaving: { isInProbes: boolean } | undefined;
  /** Whether the target reports itself as unable to serve. */
  isUnhealthy: boolean;
  /** Consecutive probes without a response. */
  unansweredProbes: number;
  /** Consecutive probes that ran into their timeout, without a response or a reset. */
  silentProbes: number;
  /** When the probe in progress was sent, in milliseconds; undefined if there is none. */
  probeSentAtMs: number | undefined;
  /** When the last probe was sent that it answered, in milliseconds. */
  probedAtMs: number;
  /** Since when it may have become cold, so that a later probe is needed, in milliseconds. */
  probeDueSinceMs: number;
  /** When the target last answered a request or a probe, in milliseconds. */
  lastAnswerAtMs: number;
  /** When a request or probe was last sent to the target, in milliseconds. */
  lastSentAtMs: number;
  /** When the target was last considered for a request, in milliseconds. */
  lastAskedAtMs: number;
  /** Idle time after which the target closes a connection, in ms; undefined if unknown. */
  idleTimeoutMs: number | undefined;
  /** Callbacks for the end of the current probe; undefined if none is in progress. */
  probeWaiters: (() => void)[] | undefined;
}

export default PlacedTarget;
