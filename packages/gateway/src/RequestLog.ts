import type Logger from 'bunyan';

import TokenBucket from '@guavayard/core/limits/TokenBucket';
import type Clock from '@guavayard/core/types/Clock';

/** Lines a second about requests that were served; the rest is counted. */
const SERVED_LINES_PER_SECOND = 40;
/** Lines a second about requests that failed or were refused. */
const FAILED_LINES_PER_SECOND = 100;

/** One try to have a request served. */
interface AttemptLine {
  readonly target: string;
  /** Requests that the target told it held, at the choice. */
  readonly load: number | undefined;
  /** How slowly it worked then, relative to usual. */
  readonly slowness: number | undefined;
  /** Age of these figures, in milliseconds. */
  readonly loadAgeMs: number | undefined;
  readonly outcome: string;
  readonly ms: number;
}

/** One request from its arrival to its answer. */
interface RequestLine {
  readonly requestId: string | undefined;
  readonly route?: string;
  readonly service?: string;
  readonly version?: number;
  readonly attempts: readonly AttemptLine[];
  readonly decision: string;
  readonly detail?: string;
  readonly status: number;
  readonly retryAfterMs?: number;
  readonly ms: number;
}

/** Logs what was decided about requests, at a bounded rate; failures have lines of their own. */
export default class RequestLog {
  private readonly served: TokenBucket;

  private readonly failed: TokenBucket;

  private suppressed = 0;

  /** Told of each request, also of those that are not logged. */
  observer: ((line: RequestLine) => void) | undefined;

  /**
   * @param log - log of the VM
   * @param clock - monotonic clock
   */
  constructor(private readonly log: Logger, private readonly clock: Clock) {
    this.served = new TokenBucket(SERVED_LINES_PER_SECOND, SERVED_LINES_PER_SECOND);
    this.failed = new TokenBucket(FAILED_LINES_PER_SECOND, FAILED_LINES_PER_SECOND);
  }

  /**
   * Logs what this entry believes from now on.
   *
   * @param fields - what it is about and what decided it
   * @param message - what has changed
   */
  note(fields: Readonly<Record<string, unknown>>, message: string): void {
    this.log.info(fields, message);
  }

  /**
   * Logs a request that has ended.
   *
   * @param line - what was decided, and by what
   */
  write(line: RequestLine): void {
    this.observer?.(line);
    const bucket = line.decision === 'answered' ? this.served : this.failed;
    if (!bucket.tryTake(1, this.clock())) {
      this.suppressed += 1;
      return;
    }
    const { suppressed } = this;
    this.suppressed = 0;
    this.log.info({ ...line, ...(suppressed > 0 ? { suppressed } : {}) }, 'request');
  }
}
