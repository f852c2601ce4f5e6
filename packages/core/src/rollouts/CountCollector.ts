import type RolloutCounts from './RolloutCounts';

type Cell = RolloutCounts['cells'][number];

/** The last counts of one process of an entry. */
interface Report {
  readonly counts: RolloutCounts;
  readonly atMs: number;
}

/** Age up to which a report tells what an entry does at present, in milliseconds. */
const RECENT_MS = 1500;

function keyOf({ route, dataCentre, isTargetVersion }: Cell): string {
  return JSON.stringify([route, dataCentre, isTargetVersion]);
}

function subtract(cell: Cell, earlier: Cell | undefined): Cell {
  if (earlier === undefined) return cell;
  return {
    ...cell,
    failed: Math.max(0, cell.failed - earlier.failed),
    latencies: cell.latencies
      .map((count, index) => Math.max(0, count - (earlier.latencies[index] ?? 0))),
  };
}

/**
 * Adds up what all entries have counted of one roll-out. Entries send all that they have counted
 * so far, so a lost or repeated message changes nothing, and a new leader learns of it, too.
 */
export default class CountCollector {
  /** The last report of each process, by its start id. */
  private readonly reports = new Map<string, Report>();

  /** Process of each entry that reported last. */
  private readonly processes = new Map<string, string>();

  private fresh: Cell[] = [];

  /**
   * Records the counts of an entry.
   *
   * @param entry - name of the entry
   * @param counts - its counts; earlier ones than those known are ignored
   * @param nowMs - monotonic clock, in milliseconds
   */
  record(entry: string, counts: RolloutCounts, nowMs: number): void {
    const key = `${entry} ${counts.startId}`;
    const last = this.reports.get(key)?.counts;
    if (last !== undefined && counts.sequence <= last.sequence) return;
    const known = new Map(last?.cells.map((cell) => [keyOf(cell), cell]));
    this.fresh.push(...counts.cells
      .map((cell) => subtract(cell, known.get(keyOf(cell))))
      .filter(({ failed, latencies }) => failed > 0 || latencies.some((count) => count > 0)));
    this.reports.set(key, { counts, atMs: nowMs });
    this.processes.set(entry, key);
  }

  /** @returns the responses that were reported since the last call */
  takeResponses(): Cell[] {
    const { fresh } = this;
    this.fresh = [];
    return fresh;
  }

  /** Requests of callers, and requests sent to the target version, since the order. */
  get traffic(): { requests: number; sent: number } {
    const all = [...this.reports.values()].map(({ counts }) => counts);
    return {
      requests: all.reduce((sum, { requests }) => sum + requests, 0),
      sent: all.reduce((sum, { sent }) => sum + sent, 0),
    };
  }

  /**
   * Returns whether no entry sends to base versions or has requests in flight there.
   *
   * @param entries - names of all entries
   * @param nowMs - monotonic clock, in milliseconds
   * @returns false if an entry has not reported of late
   */
  isDrained(entries: readonly string[], nowMs: number): boolean {
    return entries.length > 0 && entries.every((entry) => {
      const report = this.reports.get(this.processes.get(entry) ?? '');
      return report !== undefined && nowMs - report.atMs <= RECENT_MS
        && report.counts.hasSwitched && report.counts.baseInFlight === 0;
    });
  }
}
