import type Logger from 'bunyan';

import TokenBucket from '@guavayard/core/limits/TokenBucket';
import type Clock from '@guavayard/core/types/Clock';

/** Log lines per second for requests that were served; suppressed lines are counted. */
const SERVED_LINES_PER_SECOND = 40;
/** Log lines per second for requests that failed or were refused. */
const FAILED_LINES_PER_SECOND = 100;

/** The part of a log line that describes one attempt. */
interface AttemptLine {
  readonly target: string;
  /** Requests that the target had reported when it was selected. */
  readonly load: number | undefined;
  /** Slowness that it had reported, relative to its usual speed. */
  readonly slowness: number | undefined;
  /** Age of that report at the selection, in milliseconds. */
  readonly loadAgeMs: number | undefined;
  /** Whether it had left a probe unanswered when it was selected. */
  readonly wasSilent?: boolean;
  /** Time until a connection took it, in milliseconds; undefined if none did. */
  readonly connectionMs?: number | undefined;
  /** Whether it was sent on a connection that had not carried a response. */
  readonly isNewConnection?: boolean;
  /** How long the entry took it to stay cold when it was selected, in milliseconds. */
  readonly coldLeftMs?: number;
  /** Whether it was sent beside another attempt that was late. */
  readonly isHedge?: boolean;
  readonly outcome: string;
  readonly ms: number;
}

/** The part of a log line that describes the attempt of another entry. */
interface RelayLine {
  readonly entry: string;
  readonly outcome: string;
  readonly ms: number;
}

/** The log line of one request, from its arrival to its response. */
interface RequestLine {
  readonly requestId: string | undefined;
  readonly route?: string;
  readonly service?: string;
  readonly version?: number;
  readonly attempts: readonly AttemptLine[];
  /** The entry that was given the request, and how that ended. */
  readonly relay?: RelayLine;
  /** The entry that relayed the request to this one. */
  readonly relayedBy?: string;
  /**
   * What came of a wish to hedge the request: `won`, `lost`, `failed`, or `refused-` and the limit.
   */
  readonly hedge?: string;
  readonly decision: string;
  readonly detail?: string;
  readonly status: number;
  readonly retryAfterMs?: number;
  readonly ms: number;
}

/** Logs the outcome of requests at a bounded rate; failures have a separate budget of lines. */
export default class RequestLog {
  private readonly served: TokenBucket;

  private readonly failed: TokenBucket;

  private suppressed = 0;

  /** Called for each request, including those whose line is suppressed. */
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
   * Logs a change in the entry's view of a target.
   *
   * @param fields - the target and the reason of the change
   * @param message - the change
   */
  logEvent(fields: Readonly<Record<string, unknown>>, message: string): void {
    this.log.info(fields, message);
  }

  /**
   * Logs a request that has ended.
   *
   * @param line - the decision and the attempts that led to it
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
