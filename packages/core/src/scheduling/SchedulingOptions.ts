/** Tuning of the scheduler. */
interface SchedulingOptions {
  /** Bytes of load reports that one entry may send to all others of its region in a second. */
  readonly sharingBytesPerSecond: number;
  /** Bytes of load reports that may be sent at once after a quiet time. */
  readonly sharingBurstBytes: number;
  /** Shortest time between load reports when a target crosses between free and full. */
  readonly sharingUrgentIntervalMs: number;
  /** Shortest time between load reports for all other changes. */
  readonly sharingIdleIntervalMs: number;
  /** Requests that may wait at a target besides those in its slots. */
  readonly targetQueue: number;
  /** Time in which what a target reported about its load loses two thirds of its weight. */
  readonly reportDecayMs: number;
  /** Time in which a slow answer loses two thirds of its weight. */
  readonly slownessDecayMs: number;
  /** Most requests of one service that wait in the entry. */
  readonly queueLimit: number;
  /** Round trip to a target, by distance, in milliseconds. */
  readonly roundTripMs: Readonly<Record<'data-centre' | 'region' | 'remote', number>>;
  /** Weight of an entry's own ranking of equal targets, as a share of the median latency. */
  readonly affinityWeight: number;
  /** Weight of chance among equal targets, as a share of the median latency. */
  readonly chanceWeight: number;
  /** Retries for each first attempt. */
  readonly retryShare: number;
  /** Hedges for each first attempt. */
  readonly hedgeShare: number;
  /** Bytes that this entry may send to and receive from other regions in a second. */
  readonly remoteBytesPerSecond: number;
}

export default SchedulingOptions;
