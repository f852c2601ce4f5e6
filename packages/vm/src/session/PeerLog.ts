import type Logger from 'bunyan';

import TokenBucket from '@guavayard/core/limits/TokenBucket';
import type Clock from '@guavayard/core/types/Clock';

import type VmIdentity from './VmIdentity';

/** Average number of lines a second; peers that connect again and again exceed it. */
const LINES_PER_SECOND = 1;
const BURST_LINES = 60;

/** Logs the control VMs that a VM gains and loses, limited by a token bucket of lines. */
export default class PeerLog {
  private readonly budget = new TokenBucket(LINES_PER_SECOND, BURST_LINES);

  /** Lines that were left out since the last one. */
  private skipped = 0;

  /**
   * @param log - receives the lines
   * @param clock - monotonic clock, in milliseconds
   */
  constructor(private readonly log: Pick<Logger, 'info'>, private readonly clock: Clock) {}

  /** Logs that the first session with a peer is open. */
  writeGain(peer: VmIdentity): void {
    this.write(peer, {}, 'control VM connected');
  }

  /** Logs that the last session with a peer is closed, and why. */
  writeLoss(peer: VmIdentity, reason: string): void {
    this.write(peer, { reason }, 'control VM lost');
  }

  private write(
    {
      name, address, startId, roles,
    }: VmIdentity,
    fields: { readonly reason?: string },
    text: string,
  ): void {
    if (!roles.includes('control')) return;
    const nowMs = this.clock();
    if (this.budget.available(nowMs) < 1) {
      this.skipped += 1;
      return;
    }
    this.budget.take(1);
    const { skipped } = this;
    this.skipped = 0;
    this.log.info({
      peer: name, address, startId, ...fields, ...(skipped === 0 ? {} : { skipped }),
    }, text);
  }
}
