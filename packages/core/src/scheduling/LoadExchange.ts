import TokenBucket from '../limits/TokenBucket';
import type LoadReport from '../types/LoadReport';
import type LoadSharing from './LoadSharing';
import type PackedLoad from './PackedLoad';
import packLoads from './packLoads';
import type SchedulingOptions from './SchedulingOptions';
import type TargetState from './TargetState';
import type TargetTable from './TargetTable';
import unpackLoads from './unpackLoads';

/** Bytes of the frame and the message of a report, without the packed counts. */
const REPORT_OVERHEAD_BYTES = 25;
const BYTES_PER_LOAD = 3;

/** Shares the in-flight counts of this entry with its region, within a byte budget. */
export default class LoadExchange implements LoadSharing {
  private readonly changed = new Set<TargetState>();

  private readonly peerNames = new Set<string>();

  private readonly budget: TokenBucket;

  private hasUrgentChange = false;

  private sentAtMs = -Infinity;

  /**
   * @param targets - states of the targets
   * @param options - scheduling options
   * @param onUpdate - called after the counts of other entries have changed
   */
  constructor(
    private readonly targets: TargetTable,
    private readonly options: SchedulingOptions,
    private readonly onUpdate: () => void,
  ) {
    this.budget = new TokenBucket(options.sharingBytesPerSecond, options.sharingBurstBytes);
  }

  /**
   * Records that this entry's in-flight count of a target has changed.
   *
   * @param state - the target
   */
  recordChange(state: TargetState): void {
    this.changed.add(state);
    const wasFull = state.lastSharedInFlight + state.peersInFlight >= state.slots;
    const isFull = state.outstanding.size + state.peersInFlight >= state.slots;
    if (wasFull !== isFull) this.hasUrgentChange = true;
  }

  collectReport(nowMs: number): LoadReport | undefined {
    const waitMs = this.hasUrgentChange
      ? this.options.sharingUrgentIntervalMs : this.options.sharingIdleIntervalMs;
    if (this.changed.size === 0 || nowMs - this.sentAtMs < waitMs) return undefined;
    if (this.budget.available(nowMs) < 0) return undefined;
    const states = [...this.changed]
      .filter((state) => state.outstanding.size !== state.lastSharedInFlight);
    this.changed.clear();
    this.hasUrgentChange = false;
    if (states.length === 0) return undefined;
    this.sentAtMs = nowMs;
    const bytes = REPORT_OVERHEAD_BYTES + states.length * BYTES_PER_LOAD;
    this.budget.take(bytes * Math.max(1, this.peerNames.size));
    return packLoads(states.map((state) => LoadExchange.packForPeers(state)));
  }

  applyReport(entryName: string, report: LoadReport, nowMs: number): void {
    this.peerNames.add(entryName);
    unpackLoads(report).forEach(({ hash, inFlight }) => {
      const state = this.targets.findByHash(hash);
      if (state === undefined) return;
      const before = state.peerLoads.get(entryName)?.inFlight ?? 0;
      state.peerLoads.set(entryName, { inFlight, receivedAtMs: nowMs });
      state.peersInFlight += inFlight - before;
    });
    this.onUpdate();
  }

  discardEntryLoads(entryName: string): void {
    this.peerNames.delete(entryName);
    [...this.targets.all()].forEach((state) => {
      state.peersInFlight -= state.peerLoads.get(entryName)?.inFlight ?? 0;
      state.peerLoads.delete(entryName);
    });
    this.onUpdate();
  }

  private static packForPeers(state: TargetState): PackedLoad {
    state.lastSharedInFlight = state.outstanding.size;
    return { hash: state.hash, inFlight: state.lastSharedInFlight };
  }
}
