import type Logger from 'bunyan';

import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Clock from '@guavayard/core/types/Clock';

import isForeignRequest from './isForeignRequest';

/** Most failed requests that are logged in one second; the rest is counted. */
const MAX_LINES_PER_SECOND = 20;
const SECOND_MS = 1000;

/** Logs failed requests at a bounded rate, and nothing of requests with home regions elsewhere. */
export default class RequestLog implements RequestRecorder {
  private second = 0;

  private lines = 0;

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
    if (record.failure === undefined || isForeignRequest(record, this.region)) return;
    if (!this.isGranted()) return;
    const {
      requestId, serviceName, targetDataCentre, failure,
    } = record;
    const { suppressed } = this;
    this.suppressed = 0;
    this.log.info({
      requestId, service: serviceName, targetDataCentre, failure, status, suppressed,
    }, 'request failed');
  }

  private isGranted(): boolean {
    const second = Math.floor(this.clock() / SECOND_MS);
    if (second !== this.second) this.lines = 0;
    this.second = second;
    this.lines += 1;
    if (this.lines > MAX_LINES_PER_SECOND) this.suppressed += 1;
    return this.lines <= MAX_LINES_PER_SECOND;
  }
}
