import CrashHistory from '../../src/quarantine/CrashHistory';
import RunHistory from '../../src/quarantine/RunHistory';
import TargetEnds from '../../src/quarantine/TargetEnds';
import createRandom from './createRandom';

const STEP_MS = 10;
/** Duration of a request that is answered, in milliseconds. */
const WORK_MS = 200;
/** Time after which an entry finds out that a target has crashed, at least and at most, in ms. */
const CHECK_MS = [100, 500] as const;
/** Longest way of a message between two VMs, in milliseconds. */
const WAY_MS = 50;
/** Time for which a target is away after its end, in milliseconds. */
const AWAY_MS = 800;
const POPULAR = 'popular';
const CRASHING = 'crashing';

interface CrashModelOptions {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  /** Requests that each entry sends for the popular path in a second. */
  readonly requestsPerSecond: number;
  /** Time between two ends of targets, in milliseconds. */
  readonly endEveryMs: number;
  /** Time between two starts of entries, and of control; undefined if none starts. */
  readonly startEveryMs: number | undefined;
  /** Time between two requests that crash targets, in milliseconds; undefined without any. */
  readonly crashingEveryMs: number | undefined;
}

interface Run {
  readonly entry: number;
  readonly target: number;
  readonly fingerprint: string;
  readonly startedAtMs: number;
}

/** A system whose targets end in turn under the requests of all entries, on a virtual clock. */
export default class CrashModel {
  answered = 0;

  refused = 0;

  /** Times at which targets began to run the request that crashes them, in milliseconds. */
  readonly crashesAtMs: number[] = [];

  private nowMs = 0;

  private readonly random;

  private readonly histories: RunHistory[];

  private control = new CrashHistory();

  private controlEnds = new TargetEnds();

  private readonly upAtMs: number[];

  private runs: Run[] = [];

  private events: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor(private readonly options: CrashModelOptions) {
    this.random = createRandom(options.seed);
    this.histories = Array.from({ length: options.entries }, () => new RunHistory());
    this.upAtMs = Array.from({ length: options.targets }, () => 0);
  }

  run(durationMs: number): void {
    const {
      entries, targets, requestsPerSecond, endEveryMs, startEveryMs = Infinity,
      crashingEveryMs = Infinity,
    } = this.options;
    for (; this.nowMs < durationMs; this.nowMs += STEP_MS) {
      const due = this.events.filter(({ atMs }) => atMs <= this.nowMs);
      this.events = this.events.filter(({ atMs }) => atMs > this.nowMs);
      due.forEach(({ run }) => run());
      const at = (everyMs: number): boolean => this.nowMs > 0 && this.nowMs % everyMs === 0;
      const index = Math.floor(this.nowMs / STEP_MS);
      if (at(endEveryMs)) this.end(Math.floor(this.nowMs / endEveryMs) % targets);
      if (at(startEveryMs)) this.restart(Math.floor(this.nowMs / startEveryMs) % entries);
      if (at(crashingEveryMs)) this.send(index % entries, CRASHING);
      for (let entry = 0; entry < entries; entry += 1) {
        if (this.random() < (requestsPerSecond * STEP_MS) / 1000) this.send(entry, POPULAR);
      }
    }
  }

  private send(entry: number, fingerprint: string): void {
    const history = this.histories[entry];
    if (history?.isQuarantined(fingerprint, this.nowMs) === true) {
      if (fingerprint === POPULAR) this.refused += 1;
      return;
    }
    const up = this.upAtMs.flatMap((atMs, target) => (atMs <= this.nowMs ? [target] : []));
    const target = up[Math.floor(this.random() * up.length)];
    if (target === undefined) return;
    const run = {
      entry, target, fingerprint, startedAtMs: this.nowMs,
    };
    this.runs.push(run);
    if (fingerprint === CRASHING) {
      this.crashesAtMs.push(this.nowMs);
      this.after(STEP_MS, () => this.end(target));
      return;
    }
    this.after(WORK_MS, () => {
      if (!this.runs.includes(run)) return;
      this.runs = this.runs.filter((each) => each !== run);
      this.answered += 1;
      const isNews = this.histories[entry]?.recordResponse(POPULAR, this.nowMs) ?? false;
      if (isNews) this.reportAnswered();
    });
  }

  /** Ends a target under all its runs. */
  private end(target: number): void {
    this.upAtMs[target] = this.nowMs + AWAY_MS;
    const broken = this.runs.filter((run) => run.target === target);
    this.runs = this.runs.filter((run) => run.target !== target);
    const brokenAtMs = this.nowMs;
    broken.forEach(({ entry, fingerprint, startedAtMs }) => {
      const history = this.histories[entry];
      const [leastMs, mostMs] = CHECK_MS;
      this.after(leastMs + this.random() * (mostMs - leastMs), () => {
        if (history === undefined || history !== this.histories[entry]) return;
        const run = {
          fingerprint, targetId: `t-${target}`, startedAtMs, brokenAtMs,
        };
        const isCrash = history.recordCrash(run, this.nowMs);
        if (isCrash && history.mustReport(fingerprint, this.nowMs)) {
          this.reportCrash(entry, fingerprint, `t-${target}`);
        }
      });
    });
  }

  /** Starts an entry anew, which control tells what it knows, and now and then control itself. */
  private restart(entry: number): void {
    this.runs = this.runs.filter((run) => run.entry !== entry);
    if (entry === 0) {
      this.control = new CrashHistory();
      this.controlEnds = new TargetEnds();
    }
    const history = new RunHistory();
    this.histories[entry] = history;
    this.control.list(this.nowMs).forEach(({ fingerprint, count }) => (
      history.recordKnownCrashes(fingerprint, count, this.nowMs)));
  }

  private reportCrash(reporter: number, fingerprint: string, targetId: string): void {
    this.after(this.random() * WAY_MS, () => {
      const isRepeated = !this.controlEnds.recordReport(fingerprint, targetId, this.nowMs);
      if (isRepeated && this.control.count(fingerprint, this.nowMs) > 0) return;
      if (!this.control.isQuarantined(fingerprint, this.nowMs)) {
        this.control.recordCrash(fingerprint, this.nowMs);
      }
      this.histories.forEach((_, entry) => {
        if (entry === reporter) return;
        this.after(this.random() * WAY_MS, () => (
          this.histories[entry]?.recordReportedCrash(fingerprint, this.nowMs, targetId)));
      });
    });
  }

  private reportAnswered(): void {
    this.after(this.random() * WAY_MS, () => {
      if (this.control.count(POPULAR, this.nowMs) === 0) return;
      this.control.recordResponse(POPULAR);
      this.histories.forEach((_, entry) => this.after(this.random() * WAY_MS, () => {
        this.histories[entry]?.recordResponse(POPULAR, this.nowMs);
      }));
    });
  }

  private after(ms: number, run: () => void): void {
    this.events.push({ atMs: this.nowMs + ms, run });
  }
}
