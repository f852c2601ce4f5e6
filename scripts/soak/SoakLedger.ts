import type RunRecord from './RunRecord';
import type SentRequest from './SentRequest';

/** Longest time from the acceptance of a patch until it is in force everywhere. */
const ENFORCEMENT_MS = 9000;

interface Outage {
  readonly dataCentre: string;
  readonly acceptedAtMs: number;
  endedAtMs: number;
}

function countBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, number> {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  return counts;
}

function findRepeated(counts: ReadonlyMap<string, number>): string[] {
  return [...counts].flatMap(([key, count]) => (count > 1 ? [`${key} (${count})`] : []));
}

/** What was sent and what ran in a soak, and what must hold between the two. */
export default class SoakLedger {
  readonly sent: SentRequest[] = [];

  readonly runs: RunRecord[] = [];

  readonly outages: Outage[] = [];

  /** @returns one line for each promise that was broken */
  findBreaches(): string[] {
    return [
      ...this.findFalseRefusals(),
      ...this.findRepeatedRuns(),
      ...this.findForeignAnswers(),
      ...this.findRunsInOutage(),
    ];
  }

  private findFalseRefusals(): string[] {
    const ran = new Set(this.runs.map((run) => run.requestId));
    return this.sent
      .filter((sent) => sent.outcome === 'not-run' && ran.has(sent.requestId))
      .map((sent) => `${sent.requestId} was refused as not-run with ${sent.status}, but ran`);
  }

  private findRepeatedRuns(): string[] {
    const keyed = this.runs.filter((run) => run.key !== undefined);
    const plain = new Set(this.sent.flatMap(({ kind, requestId }) => (
      kind === 'plain' ? [requestId] : [])));
    const plainRuns = this.runs.filter((run) => plain.has(run.requestId));
    return [
      ...findRepeated(countBy(keyed, (run) => run.key ?? ''))
        .map((key) => `key ${key} ran more than once`),
      ...findRepeated(countBy(plainRuns, (run) => run.requestId))
        .map((id) => `request ${id} ran more than once`),
    ];
  }

  private findForeignAnswers(): string[] {
    return this.sent
      .filter((sent) => !sent.isOwnAnswer)
      .map((sent) => `${sent.requestId} got an answer that is not its own`);
  }

  private findRunsInOutage(): string[] {
    return this.outages.flatMap((outage) => this.runs
      .filter((run) => run.dataCentre === outage.dataCentre)
      .filter((run) => run.atMs > outage.acceptedAtMs + ENFORCEMENT_MS)
      .filter((run) => run.atMs < outage.endedAtMs)
      .map((run) => `${run.requestId} ran in ${run.dataCentre} while it was out`));
  }
}
