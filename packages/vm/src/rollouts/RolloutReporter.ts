import type RolloutCounts from '@guavayard/core/rollouts/RolloutCounts';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import ROLLOUT_VERSION from './rolloutVersion';

type EntryCounts = Omit<RolloutCounts, 'sequence' | 'startId'>;

/** Interval at which it is checked what is due, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Interval at which new counts are sent, in milliseconds. */
const INTERVAL_MS = 250;
/** Interval at which unchanged counts are sent again, in milliseconds. */
const RESEND_INTERVAL_MS = 1000;

interface RolloutReporterOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly name: string;
  /** Id of this process. */
  readonly startId: string;
  /** Returns what this entry has counted of the roll-outs that are under way. */
  readonly list: () => readonly EntryCounts[];
  /** Sends a message to the control VM that this entry follows. */
  readonly send: (message: VmMessage, sinceVersion: number) => void;
}

/** Tells control what an entry has counted, as long as versions are brought in. */
export default class RolloutReporter {
  private readonly sent = new Map<string, { readonly text: string; readonly atMs: number }>();

  private sequence = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RolloutReporterOptions) {}

  /** Starts or stops reporting, as there are roll-outs under way or not. */
  update(): void {
    const isNeeded = this.options.list().length > 0;
    if (isNeeded) this.timer ??= setInterval(() => this.report(), CHECK_INTERVAL_MS);
    if (isNeeded || this.timer === undefined) return;
    clearInterval(this.timer);
    this.timer = undefined;
    this.sent.clear();
  }

  /** Sends the counts that are due. */
  report(): void {
    const {
      clock, list, name, send, startId,
    } = this.options;
    const nowMs = clock();
    list().forEach((counts) => {
      const text = JSON.stringify(counts);
      const last = this.sent.get(counts.service);
      // The leader waits for the end of the requests on base versions.
      const intervalMs = counts.hasSwitched ? CHECK_INTERVAL_MS : INTERVAL_MS;
      const dueMs = last?.text === text ? RESEND_INTERVAL_MS : intervalMs;
      // A timer may run a little early.
      if (last !== undefined && nowMs - last.atMs < dueMs - CHECK_INTERVAL_MS / 2) return;
      this.sent.set(counts.service, { text, atMs: nowMs });
      this.sequence += 1;
      send({
        kind: 'rolloutCounts',
        entry: name,
        counts: { ...counts, startId, sequence: this.sequence },
        isRelayed: false,
      }, ROLLOUT_VERSION);
    });
  }
}
