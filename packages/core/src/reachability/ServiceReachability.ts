/** Probes of one target that nothing has answered. */
interface UnansweredProbes {
  /** When the latest of them was sent, in milliseconds. */
  sentAtMs: number;
  /** When the target counts as silent, in milliseconds: later than an answer usually takes. */
  silentAtMs: number;
}

/** What an entry has heard from the targets of one service. */
interface ServiceReachability {
  /** Unanswered probes, by target id. */
  readonly unanswered: Map<string, UnansweredProbes>;
  /** Longest time that an answer to a probe took lately, in milliseconds. */
  slowestAnswerMs: number;
  /** When that answer came, in milliseconds. */
  slowestAnswerAtMs: number;
  /** When a target of the service last answered, in milliseconds. */
  lastAnswerAtMs: number;
  /** Since when no target can be reached, in milliseconds; undefined while one can. */
  unreachableSinceMs: number | undefined;
}

export default ServiceReachability;
