import { encode } from 'cbor-x';

import type BenchEntry from './BenchEntry';
import type Fleet from './Fleet';
import type Measurements from './Measurements';

const INTERVAL_MS = 1;
/** Length prefix of a frame between VMs. */
const FRAME_HEADER_BYTES = 4;

/** Delivers load reports between the entries of a region, as sessions between VMs do. */
export default class RegionSharing {
  constructor(
    private readonly fleet: Fleet,
    private readonly entries: readonly BenchEntry[],
    private readonly measurements: Measurements,
  ) {}

  /** Starts polling the entries for load reports. */
  start(): void {
    this.entries.forEach((entry) => {
      if (entry.policy.sharing === undefined) return;
      const peers = this.entries
        .filter((peer) => peer !== entry && peer.location.region === entry.location.region);
      this.fleet.clock.every(INTERVAL_MS, () => this.share(entry, peers));
    });
  }

  private share(entry: BenchEntry, peers: readonly BenchEntry[]): void {
    const { clock, profile } = this.fleet;
    const report = entry.policy.sharing?.collectReport(clock.nowMs);
    if (report === undefined) return;
    const bytes = FRAME_HEADER_BYTES + encode({ kind: 'load', report }).length;
    this.measurements.sharingBytes += bytes * peers.length;
    clock.after(profile.regionLatencyMs, () => peers.forEach((peer) => {
      peer.policy.sharing?.applyReport(entry.location.name, report, clock.nowMs);
    }));
  }
}
