import TokenBucket from '@guavayard/core/limits/TokenBucket';
import type LoadSharing from '@guavayard/core/scheduling/LoadSharing';
import type Clock from '@guavayard/core/types/Clock';

import type EntryBroadcast from '../entry/EntryBroadcast';
import type EntrySessionListener from '../entry/EntrySessionListener';
import type VmMessage from '../messages/VmMessage';
import encodeFrame from '../session/encodeFrame';
import type VmIdentity from '../session/VmIdentity';

/** Rate limit of the load reports that an entry sends, frame headers included. */
const BYTES_PER_SECOND = 12_000;
const BURST_BYTES = 1200;

/** Exchanges load reports between the entries of one region, limited by a token bucket of bytes. */
export default class LoadReportExchange implements EntrySessionListener {
  private readonly byteBudget = new TokenBucket(BYTES_PER_SECOND, BURST_BYTES);

  private totalSentBytes = 0;

  /**
   * @param region - region of this entry
   * @param sessions - broadcasts to the other entries of the region
   * @param sharing - creates the reports to send and applies those received
   * @param clock - monotonic clock
   */
  constructor(
    private readonly region: string,
    private readonly sessions: EntryBroadcast,
    private readonly sharing: LoadSharing,
    private readonly clock: Clock,
  ) {}

  /** Bytes of load reports sent since the start, frame headers included. */
  get sentBytes(): number {
    return this.totalSentBytes;
  }

  /** Sends a report if there is one and the budget allows it. Call it every few milliseconds. */
  tick(): void {
    const nowMs = this.clock();
    // Changes that are not sent now are part of a later report, with the counts of that time.
    if (this.byteBudget.available(nowMs) <= 0) return;
    const report = this.sharing.collectReport(nowMs);
    if (report === undefined) return;
    const message: VmMessage = { kind: 'load', report };
    const bytes = encodeFrame(message).length * this.sessions.broadcastInRegion(message);
    this.byteBudget.take(bytes);
    this.totalSentBytes += bytes;
  }

  onEntryOpen({ name }: VmIdentity): void {
    // The process may have restarted, which leaves it with nothing in flight.
    this.sharing.discardEntryLoads(name);
  }

  onEntryMessage({ name, region }: VmIdentity, message: VmMessage): void {
    if (message.kind !== 'load' || region !== this.region) return;
    this.sharing.applyReport(name, message.report, this.clock());
  }

  onEntryClose({ name }: VmIdentity): void {
    this.sharing.discardEntryLoads(name);
  }
}
