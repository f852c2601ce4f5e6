import OutlierDetector from '../limits/OutlierDetector';
import AttemptBudget from '../retries/AttemptBudget';
import DecayingLatencyHistogram from '../retries/DecayingLatencyHistogram';
import AdmissionQueue from './AdmissionQueue';
import type SchedulingOptions from './SchedulingOptions';

const INITIAL_MEDIAN_MS = 10;
const INITIAL_TAIL_MS = 50;

/** State that one entry keeps about one service. */
export default class ServiceState {
  readonly queue: AdmissionQueue;

  /** Latencies of answered attempts of this entry. */
  readonly latencies = new DecayingLatencyHistogram(INITIAL_MEDIAN_MS, INITIAL_TAIL_MS);

  readonly retries: AttemptBudget;

  readonly hedges: AttemptBudget;

  readonly outliers = new OutlierDetector();

  /** Number of candidates of the latest attempt. */
  candidateCount = 0;

  /** Attempts of this entry in flight to targets of the service. */
  inFlight = 0;

  /**
   * @param options - scheduling options
   */
  constructor(options: SchedulingOptions) {
    this.queue = new AdmissionQueue(options.queueLimit);
    this.retries = new AttemptBudget(options.retryShare);
    this.hedges = new AttemptBudget(options.hedgeShare);
  }

  /**
   * @param change - attempts started minus attempts ended
   */
  addInFlight(change: number): void {
    this.inFlight += change;
  }

  /**
   * @param count - number of candidates of the latest attempt
   */
  setCandidateCount(count: number): void {
    this.candidateCount = count;
  }

  /** @returns the expected wait of an attempt that joins the queue now, in milliseconds */
  estimateWaitMs(): number {
    return (this.queue.length * this.latencies.medianMs) / Math.max(1, this.inFlight);
  }
}
