/** Cost of probing the targets that an entry owns. */
interface MeasuringCost {
  /** Probes sent since the entry started. */
  readonly probes: number;
  /** Largest share of slot time that probes have taken on any owned target. */
  readonly usedShare: number;
  /** Share of slot time that probes may take. */
  readonly budgetShare: number;
}

export default MeasuringCost;
