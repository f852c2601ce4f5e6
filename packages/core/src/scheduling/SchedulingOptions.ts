/** Options of the scheduler: budgets, limits, intervals and weights. */
interface SchedulingOptions {
  /** Bytes of load reports per second that one entry may send to all others of its region. */
  readonly sharingBytesPerSecond: number;
  /** Burst size of load reports after an idle period, in bytes. */
  readonly sharingBurstBytes: number;
  /** Shortest interval between load reports when a target becomes full or free, in milliseconds. */
  readonly sharingUrgentIntervalMs: number;
  /** Shortest interval between load reports for all other changes, in milliseconds. */
  readonly sharingIdleIntervalMs: number;
  /** Requests that may wait at a target in addition to those in its slots. */
  readonly targetQueue: number;
  /** Time in which a load reported by a target loses two thirds of its weight, in milliseconds. */
  readonly reportDecayMs: number;
  /** Time in which a slow response loses two thirds of its weight, in milliseconds. */
  readonly slownessDecayMs: number;
  /** Maximum number of requests of one service that wait in the entry. */
  readonly queueLimit: number;
  /** Round trip to a target, by distance, in milliseconds. */
  readonly roundTripMs: Readonly<Record<'data-centre' | 'region' | 'remote', number>>;
  /** Weight of the entry's individual ranking of targets, as a share of the median latency. */
  readonly affinityWeight: number;
  /** Weight of a random choice between equal targets, as a share of the median latency. */
  readonly randomWeight: number;
  /** Retries for each first attempt. */
  readonly retryShare: number;
  /** Hedges for each first attempt. */
  readonly hedgeShare: number;
  /** Bytes per second that this entry may exchange with other regions. */
  readonly remoteBytesPerSecond: number;
}

export default SchedulingOptions;
