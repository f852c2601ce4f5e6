import { setTimeout as sleep } from 'node:timers/promises';

import type ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';
import type ConsensusStore from '@guavayard/core/consensus/ConsensusStore';
import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import type DurableState from '@guavayard/core/consensus/DurableState';
import type Clock from '@guavayard/core/types/Clock';

/** Time after a write at which the log is marked as synced, in milliseconds. */
const MARK_DELAY_MS = 1000;
const RETRY_INTERVAL_MS = 500;
/** Shortest time between two reports of writes that fail, in milliseconds. */
const REPORT_INTERVAL_MS = 60_000;
/** Duration from which on a write is reported as slow, in milliseconds. */
const SLOW_WRITE_MS = 300;
/** Shortest time between two reports of slow writes, in milliseconds. */
const SLOW_REPORT_INTERVAL_MS = 5000;

interface LogWriterOptions {
  readonly store: ConsensusStore;
  readonly clock: Clock;
  /** Time between attempts in milliseconds; by default 500. */
  readonly retryIntervalMs?: number;
  readonly onWriteFailure?: (err: Error) => void;
  readonly onWriteRecovery?: (failedMs: number) => void;
  readonly onSlowWrites?: (slow: { count: number; longestMs: number }) => void;
}

/** Writes the log of one replica, and goes on trying while the disk refuses it. */
export default class LogWriter {
  private startedAtMs: number | undefined;

  /** When the first write since the last mark was synced, undefined if there was none. */
  private unmarkedSinceMs: number | undefined;

  private isClosed = false;

  private isRefusing = false;

  /** Slow writes since the last report. */
  private slow = { count: 0, longestMs: 0 };

  private slowReportedAtMs = -Infinity;

  /** Records of the whole state after the last write. */
  private whole: readonly ConsensusRecord[] = [];

  constructor(private readonly options: LogWriterOptions) {}

  /** Time for which the write in progress has been running or refused, in milliseconds, or 0. */
  get pendingMs(): number {
    return this.startedAtMs === undefined ? 0 : this.options.clock() - this.startedAtMs;
  }

  /** Whether the disk has refused the write in progress, which is tried again. */
  get isRefused(): boolean {
    return this.isRefusing;
  }

  /**
   * Writes records. After a failure it is not known what the file holds, so the whole state is
   * written to a new file, until that succeeds.
   *
   * @param records - the records to write
   * @param state - the state after these records
   * @returns whether the records are synced; false if the writer was closed before
   */
  async write(records: readonly ConsensusRecord[], state: DurableState): Promise<boolean> {
    const { store, clock } = this.options;
    const isReplaced = records.some((record) => record.kind === 'snapshot');
    // The state may change while the write is in progress.
    const whole = createConsensusRecords(state);
    this.whole = whole;
    const isSynced = await this.attempt(async () => (
      isReplaced ? store.replace(whole) : store.append(records)));
    this.unmarkedSinceMs ??= clock();
    return isSynced;
  }

  /**
   * Marks the log as synced a while after a write.
   *
   * @returns nothing, once the mark is synced or the writer is closed
   */
  async markIfDue(): Promise<void> {
    const { store, clock } = this.options;
    if (this.unmarkedSinceMs === undefined) return;
    if (clock() - this.unmarkedSinceMs < MARK_DELAY_MS) return;
    await this.attempt(async () => store.markSynced?.());
    this.unmarkedSinceMs = undefined;
  }

  /** Ends all attempts. */
  close(): void {
    this.isClosed = true;
  }

  private async attempt(write: () => Promise<void>): Promise<boolean> {
    this.startedAtMs = this.options.clock();
    try {
      await write();
    } catch (err) {
      await this.rewrite(err as Error);
    }
    this.reportSlowWrite();
    this.startedAtMs = undefined;
    return !this.isClosed;
  }

  private reportSlowWrite(): void {
    const { pendingMs } = this;
    if (pendingMs < SLOW_WRITE_MS) return;
    const { clock, onSlowWrites } = this.options;
    this.slow = {
      count: this.slow.count + 1, longestMs: Math.max(this.slow.longestMs, Math.round(pendingMs)),
    };
    if (clock() - this.slowReportedAtMs < SLOW_REPORT_INTERVAL_MS) return;
    onSlowWrites?.(this.slow);
    this.slow = { count: 0, longestMs: 0 };
    this.slowReportedAtMs = clock();
  }

  private async rewrite(firstError: Error): Promise<void> {
    const { store, clock, retryIntervalMs = RETRY_INTERVAL_MS } = this.options;
    const failedAtMs = clock();
    let reportedAtMs = -Infinity;
    let err: Error | undefined = firstError;
    this.isRefusing = true;
    while (err !== undefined && !this.isClosed) {
      if (clock() - reportedAtMs >= REPORT_INTERVAL_MS) {
        reportedAtMs = clock();
        this.options.onWriteFailure?.(err);
      }
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await sleep(retryIntervalMs);
      // eslint-disable-next-line no-await-in-loop
      err = await store.replace(this.whole).then(
        () => undefined,
        (reason: Error) => reason,
      );
    }
    this.isRefusing = false;
    if (err === undefined) this.options.onWriteRecovery?.(clock() - failedAtMs);
  }
}
