/** Token bucket and total cost of the probes of one target. Times are in milliseconds. */
interface ProbeLedger {
  readonly startedAtMs: number;
  /** Slot time available for probes: the fill level of the token bucket. */
  availableMs: number;
  refilledAtMs: number;
  /** Slot time that probes have taken so far. */
  spentMs: number;
  probes: number;
  isProbing: boolean;
}

export default ProbeLedger;
