/** What it cost to measure the targets that an entry owns. */
interface MeasuringCost {
  /** Probes sent since the start. */
  readonly probes: number;
  /** Largest share of the slot time of any owned target that probes took. */
  readonly usedShare: number;
  /** The share that they may take. */
  readonly budgetShare: number;
}

export default MeasuringCost;
