import TokenBucket from '@guavayard/core/limits/TokenBucket';
import type LoadSharing from '@guavayard/core/scheduling/LoadSharing';
import type Clock from '@guavayard/core/types/Clock';

import type EntryBroadcast from '../entry/EntryBroadcast';
import type EntrySessionListener from '../entry/EntrySessionListener';
import type VmMessage from '../messages/VmMessage';
import encodeFrame from '../session/encodeFrame';
import type VmIdentity from '../session/VmIdentity';

/** Bytes of load reports, frames included, that an entry sends in a second. */
const BYTES_PER_SECOND = 12_000;
const BURST_BYTES = 1200;

/** Carries load reports between the entries of one region, within a budget of bytes. */
export default class LoadReportExchange implements EntrySessionListener {
  private readonly budget = new TokenBucket(BYTES_PER_SECOND, BURST_BYTES);

  private sent = 0;

  /**
   * @param region - the own region
   * @param sessions - sends to the other entries of the region
   * @param sharing - makes and takes the reports
   * @param clock - monotonic clock
   */
  constructor(
    private readonly region: string,
    private readonly sessions: EntryBroadcast,
    private readonly sharing: LoadSharing,
    private readonly clock: Clock,
  ) {}

  /** Bytes of load reports sent since the start, frames included. */
  get sentBytes(): number {
    return this.sent;
  }

  /** Sends what is worth telling, if the budget allows it. To be called every few milliseconds. */
  tick(): void {
    const nowMs = this.clock();
    // Whatever is not told now is told later, with the counts of then.
    if (this.budget.available(nowMs) <= 0) return;
    const report = this.sharing.collectReport(nowMs);
    if (report === undefined) return;
    const message: VmMessage = { kind: 'load', report };
    const bytes = encodeFrame(message).length * this.sessions.broadcastInRegion(message);
    this.budget.take(bytes);
    this.sent += bytes;
  }

  onEntryOpen({ name }: VmIdentity): void {
    // The process may have been restarted, and then has nothing in flight.
    this.sharing.forgetEntry(name);
  }

  onEntryMessage({ name, region }: VmIdentity, message: VmMessage): void {
    if (message.kind !== 'load' || region !== this.region) return;
    this.sharing.takeReport(name, message.report, this.clock());
  }

  onEntryClose({ name }: VmIdentity): void {
    this.sharing.forgetEntry(name);
  }
}
