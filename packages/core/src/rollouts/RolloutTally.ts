import findLatencyBucket from './findLatencyBucket';
import type RolloutCounts from './RolloutCounts';

type Cell = RolloutCounts['cells'][number];
type Side = Pick<Cell, 'route' | 'dataCentre' | 'isTargetVersion'>;

/** What an entry has counted of one roll-out. */
interface Count {
  readonly number: number;
  requests: number;
  sent: number;
  readonly cells: Map<string, Cell>;
}

/** Counts the requests and responses of services whose versions are brought in, at one entry. */
export default class RolloutTally {
  private readonly counts = new Map<string, Count>();

  /** Starts counting for roll-outs that are new, and stops for those that have ended. */
  update(rollouts: readonly Pick<RolloutCounts, 'service' | 'number'>[]): void {
    const known = new Map(this.counts);
    this.counts.clear();
    rollouts.forEach(({ service, number }) => {
      const last = known.get(service);
      this.counts.set(service, last?.number === number ? last : {
        number, requests: 0, sent: 0, cells: new Map(),
      });
    });
  }

  /** Counts a request of a caller. */
  recordRequest(service: string): void {
    const count = this.counts.get(service);
    if (count !== undefined) count.requests += 1;
  }

  /** Counts a request sent to the target version. */
  recordSend(service: string): void {
    const count = this.counts.get(service);
    if (count !== undefined) count.sent += 1;
  }

  /**
   * Counts a response.
   *
   * @param service - service of the request
   * @param side - its route, and which target responded
   * @param durationMs - time from sending the request to the end of a good response, in
   *   milliseconds; undefined for a failure
   */
  recordResponse(service: string, side: Side, durationMs: number | undefined): void {
    const count = this.counts.get(service);
    if (count === undefined) return;
    const key = JSON.stringify([side.route, side.dataCentre, side.isTargetVersion]);
    const cell = count.cells.get(key) ?? { ...side, failed: 0, latencies: [] };
    count.cells.set(key, cell);
    if (durationMs === undefined) {
      cell.failed += 1;
      return;
    }
    const bucket = findLatencyBucket(durationMs);
    while (cell.latencies.length <= bucket) cell.latencies.push(0);
    cell.latencies[bucket] = (cell.latencies[bucket] ?? 0) + 1;
  }

  /** Number of requests sent to target versions of the roll-outs that are under way. */
  get sentCount(): number {
    return [...this.counts.values()].reduce((sum, { sent }) => sum + sent, 0);
  }

  /** @returns what was counted since each roll-out became known */
  list(): Pick<RolloutCounts, 'service' | 'number' | 'requests' | 'sent' | 'cells'>[] {
    return [...this.counts].map(([service, {
      number, requests, sent, cells,
    }]) => ({
      service, number, requests, sent, cells: [...cells.values()],
    }));
  }
}
