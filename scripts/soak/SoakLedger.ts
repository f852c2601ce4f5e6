import type RunRecord from './RunRecord';
import type SentRequest from './SentRequest';

/** Longest time from the acceptance of a patch until it is in force on every entry. */
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

function findDuplicates(counts: ReadonlyMap<string, number>): string[] {
  return [...counts].flatMap(([key, count]) => (count > 1 ? [`${key} (${count})`] : []));
}

/** Records the requests and runs of a soak test and checks the guarantees between them. */
export default class SoakLedger {
  readonly sent: SentRequest[] = [];

  readonly runs: RunRecord[] = [];

  readonly outages: Outage[] = [];

  /** @returns one line for each violated guarantee */
  findViolations(): string[] {
    return [
      ...this.findFalseRefusals(),
      ...this.findRepeatedRuns(),
      ...this.findUnexpectedBodies(),
      ...this.findRunsInOutage(),
    ];
  }

  /** Finds requests with the outcome `not-run` that ran nevertheless. */
  private findFalseRefusals(): string[] {
    const ran = new Set(this.runs.map((run) => run.requestId));
    return this.sent
      .filter((sent) => sent.outcome === 'not-run' && ran.has(sent.requestId))
      .map((sent) => `${sent.requestId} was refused as not-run with ${sent.status}, but ran`);
  }

  /** Finds idempotency keys and plain writes that ran more than once. */
  private findRepeatedRuns(): string[] {
    const keyed = this.runs.filter((run) => run.key !== undefined);
    const plain = new Set(this.sent.flatMap(({ kind, requestId }) => (
      kind === 'plain' ? [requestId] : [])));
    const plainRuns = this.runs.filter((run) => plain.has(run.requestId));
    return [
      ...findDuplicates(countBy(keyed, (run) => run.key ?? ''))
        .map((key) => `key ${key} ran more than once`),
      ...findDuplicates(countBy(plainRuns, (run) => run.requestId))
        .map((id) => `request ${id} ran more than once`),
    ];
  }

  private findUnexpectedBodies(): string[] {
    return this.sent
      .filter((sent) => !sent.hasExpectedBody)
      .map((sent) => `${sent.requestId} got a response that belongs to another request`);
  }

  /** Finds runs in a data centre after its removal was in force. */
  private findRunsInOutage(): string[] {
    return this.outages.flatMap((outage) => this.runs
      .filter((run) => run.dataCentre === outage.dataCentre)
      .filter((run) => run.atMs > outage.acceptedAtMs + ENFORCEMENT_MS)
      .filter((run) => run.atMs < outage.endedAtMs)
      .map((run) => `${run.requestId} ran in ${run.dataCentre} while it was out`));
  }
}
