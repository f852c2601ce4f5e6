import type Logger from 'bunyan';

import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Clock from '@guavayard/core/types/Clock';

import isRestrictedToOtherRegions from './isRestrictedToOtherRegions';

/** Maximum number of failed requests logged per second; the rest are only counted. */
const MAX_LINES_PER_SECOND = 20;
const SECOND_MS = 1000;

/** Logs failed requests at a limited rate, except those restricted to other regions. */
export default class RequestLog implements RequestRecorder {
  private currentSecond = 0;

  private linesInSecond = 0;

  private suppressed = 0;

  /**
   * @param clock - monotonic clock
   * @param log - the log of the VM
   * @param region - region of the VM
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly region: string,
  ) {}

  record(record: RequestRecord, status: number): void {
    if (record.failure === undefined || isRestrictedToOtherRegions(record, this.region)) return;
    if (!this.isWithinRateLimit()) return;
    const {
      requestId, serviceName, targetDataCentre, failure,
    } = record;
    const { suppressed } = this;
    this.suppressed = 0;
    this.log.info({
      requestId, service: serviceName, targetDataCentre, failure, status, suppressed,
    }, 'request failed');
  }

  /** Counts a line against the limit of the current second; returns whether it may be written. */
  private isWithinRateLimit(): boolean {
    const second = Math.floor(this.clock() / SECOND_MS);
    if (second !== this.currentSecond) this.linesInSecond = 0;
    this.currentSecond = second;
    this.linesInSecond += 1;
    if (this.linesInSecond > MAX_LINES_PER_SECOND) this.suppressed += 1;
    return this.linesInSecond <= MAX_LINES_PER_SECOND;
  }
}
