import findWorstRepeats from '@guavayard/emulator/findWorstRepeats';

import EntryShareTracker from '../../src/placement/EntryShareTracker';
import RetryBudget from '../../src/placement/RetryBudget';

/** Time that the model advances in one step, in milliseconds. */
const STEP_MS = 50;
/** Time without contact after which control drops an entry, in milliseconds. */
const ENTRY_TIMEOUT_MS = 3000;
/** Interval at which entries hear of control, in milliseconds. */
const PULSE_MS = 250;
/** Time after which control that has started publishes its first roster, in milliseconds. */
const ROSTER_DELAY_MS = 2000;
/** Retries that each request asks for while its targets fail. */
const RETRIES = 6;
const WINDOW_MS = 10_000;
/** Share of the slack that entries may use: arrivals are counted later than retries are sent. */
const COUNTED_SLACK_SHARE = 0.8;
const BOUNDS = { ratio: 0.2, slack: 60, windowMs: WINDOW_MS };

interface ModelEvent {
  readonly atMs: number;
  readonly kind: 'kill' | 'freeze' | 'cutOff';
  /** Entries that it happens to, from the first on, as a share of all. */
  readonly share: number;
  /** Entries before those that it happens to, as a share of all. */
  readonly skipped: number;
  readonly forMs: number;
  /** Time between two entries, in milliseconds. */
  readonly gapMs: number;
}

interface Disturbances {
  readonly events: readonly ModelEvent[];
  /** Times at which control starts without a roster, in milliseconds. */
  readonly controlStartsMs: readonly number[];
  /** Times from which targets fail, and until which. */
  readonly failures: readonly { readonly fromMs: number; readonly forMs: number }[];
}

interface ModelEntry {
  startedAtMs: number;
  budget: RetryBudget;
  share: EntryShareTracker;
  downUntilMs: number;
  frozenUntilMs: number;
  cutOffUntilMs: number;
  /** Last time at which control heard of the entry. */
  seenAtMs: number;
  rosterSize: number;
}

/** Entries with their budgets, and control with its roster, in steps of a virtual clock. */
export default class BudgetModel {
  private readonly entries: ModelEntry[];

  private readonly sentAtMs: number[] = [];

  private readonly arrivals: { id: string; atMs: number }[] = [];

  private controlStartedAtMs = -Infinity;

  private nowMs = 0;

  /**
   * @param entryCount - number of entries
   * @param requestsPerSecond - requests that callers send to each entry
   * @param rosterDelayMs - time after which an entry has a new roster, by its index
   */
  constructor(
    entryCount: number,
    private readonly requestsPerSecond: number,
    private readonly rosterDelayMs: (index: number) => number,
  ) {
    this.entries = Array.from({ length: entryCount }, () => ({
      ...this.createProcess(),
      downUntilMs: 0,
      frozenUntilMs: 0,
      cutOffUntilMs: 0,
      seenAtMs: 0,
      rosterSize: 0,
    }));
  }

  /**
   * Runs the model.
   *
   * @param endMs - time at which it ends, in milliseconds
   * @returns the repeats in the worst window, and how many the rule allows in it
   */
  run(endMs: number, disturbances: Disturbances): ReturnType<typeof findWorstRepeats> {
    const { controlStartsMs, failures } = disturbances;
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) {
      if (controlStartsMs.some((atMs) => this.isNow(atMs))) {
        this.controlStartedAtMs = this.nowMs;
        this.entries.forEach((entry) => Object.assign(entry, { seenAtMs: -Infinity }));
      }
      disturbances.events.forEach((event) => this.apply(event));
      this.publish();
      const isFailing = failures.some(({ fromMs, forMs }) => (
        this.nowMs >= fromMs && this.nowMs < fromMs + forMs));
      this.entries.forEach((entry, index) => this.serve(entry, index, isFailing));
    }
    return findWorstRepeats(this.sentAtMs, this.arrivals, {
      ...BOUNDS, slack: COUNTED_SLACK_SHARE * BOUNDS.slack,
    });
  }

  private createProcess(): Pick<ModelEntry, 'startedAtMs' | 'budget' | 'share'> {
    const startedAtMs = this.nowMs;
    return {
      startedAtMs,
      budget: new RetryBudget({ ...BOUNDS, startedAtMs }),
      share: new EntryShareTracker(WINDOW_MS),
    };
  }

  private isNow(atMs: number): boolean {
    return atMs >= this.nowMs && atMs < this.nowMs + STEP_MS;
  }

  private apply({
    atMs, kind, share, skipped, forMs, gapMs,
  }: ModelEvent): void {
    const first = Math.floor(this.entries.length * skipped);
    const count = Math.ceil(this.entries.length * share);
    this.entries.slice(first, first + count).forEach((entry, index) => {
      if (!this.isNow(atMs + index * gapMs)) return;
      const untilMs = this.nowMs + forMs;
      if (kind === 'kill') Object.assign(entry, this.createProcess(), { downUntilMs: this.nowMs + 300, rosterSize: 0 });
      if (kind === 'freeze') Object.assign(entry, { frozenUntilMs: untilMs });
      if (kind === 'cutOff') Object.assign(entry, { cutOffUntilMs: untilMs });
    });
  }

  private isUp({ downUntilMs, frozenUntilMs }: ModelEntry): boolean {
    return this.nowMs >= Math.max(downUntilMs, frozenUntilMs);
  }

  /** Lets control hear of the entries, and the entries of control. */
  private publish(): void {
    if (this.nowMs % PULSE_MS !== 0) return;
    const inContact = this.entries.filter((entry) => (
      this.isUp(entry) && this.nowMs >= entry.cutOffUntilMs));
    inContact.forEach((entry) => Object.assign(entry, { seenAtMs: this.nowMs }));
    const size = this.entries
      .filter(({ seenAtMs }) => this.nowMs - seenAtMs <= ENTRY_TIMEOUT_MS).length;
    const isKnown = this.nowMs >= this.controlStartedAtMs + ROSTER_DELAY_MS;
    inContact.forEach((entry) => {
      const state = entry;
      entry.share.recordContact(this.nowMs);
      const isDue = this.nowMs % (PULSE_MS + this.rosterDelayMs(this.entries.indexOf(entry))) === 0;
      const isFirst = state.rosterSize === 0;
      if (!isKnown || size === state.rosterSize || !(isDue || isFirst)) return;
      state.rosterSize = size;
      entry.share.recordCount(size, this.nowMs);
    });
  }

  private serve(entry: ModelEntry, index: number, isFailing: boolean): void {
    const { nowMs } = this;
    const periodMs = 1000 / this.requestsPerSecond;
    const offsetMs = (index * periodMs) / this.entries.length;
    const due = Math.floor((nowMs + STEP_MS + offsetMs) / periodMs)
      - Math.floor((nowMs + offsetMs) / periodMs);
    for (let count = 0; count < due; count += 1) {
      const id = `${index}-${nowMs}-${count}`;
      this.sentAtMs.push(nowMs);
      if (this.isUp(entry)) this.send(entry, id, isFailing);
    }
  }

  private send({ budget, share }: ModelEntry, id: string, isFailing: boolean): void {
    const { nowMs } = this;
    budget.recordFirst(nowMs);
    this.arrivals.push({ id, atMs: nowMs });
    for (let retry = 0; isFailing && retry < RETRIES; retry += 1) {
      const grant = budget.take(nowMs, share.findShare(nowMs));
      if (grant === undefined) return;
      grant.recordSent(nowMs);
      this.arrivals.push({ id, atMs: nowMs });
    }
  }
}
