/** What probes may cost one target and have cost it. Times are in milliseconds. */
interface ProbeLedger {
  readonly startedAtMs: number;
  /** Slot time that may be spent on probes. */
  savedMs: number;
  savedAtMs: number;
  /** Slot time that probes took. */
  spentMs: number;
  probes: number;
  isProbing: boolean;
}

export default ProbeLedger;
