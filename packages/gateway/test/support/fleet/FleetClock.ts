import type { TestContext } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import type FleetActor from './FleetActor';

/** Time between two turns of the real event loop, in milliseconds. */
const STEP_MS = 50;

/** Something that is to run at some time. */
interface ScheduledRun {
  readonly atMs: number;
  readonly run: () => void;
}

interface FleetTimer {
  isCleared: boolean;
}

/** A virtual clock whose timers belong to the entry that set them, so that each can stand still. */
export default class FleetClock {
  nowMs = 0;

  /** What is to run, the latest first. */
  private readonly schedule: ScheduledRun[] = [];

  private actor: FleetActor | undefined;

  /** Replaces the timers of the process by those of this clock until the test ends. */
  constructor(t: TestContext) {
    t.mock.reset();
    t.mock.method(globalThis, 'setTimeout', (run: () => void, ms = 0) => this.set(run, ms));
    t.mock.method(globalThis, 'clearTimeout', (timer: FleetTimer | undefined) => {
      if (timer !== undefined) Object.assign(timer, { isCleared: true });
    });
  }

  /** Runs something some time later, whether or not entries stand still. */
  after(ms: number, run: () => void): void {
    const atMs = this.nowMs + ms;
    let [from, to] = [0, this.schedule.length];
    while (from < to) {
      const middle = Math.floor((from + to) / 2);
      if ((this.schedule[middle]?.atMs ?? 0) > atMs) from = middle + 1;
      else to = middle;
    }
    this.schedule.splice(from, 0, { atMs, run });
  }

  /** Runs something again and again. */
  every(ms: number, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  /** Runs code of an entry, to which the timers that it sets belong. */
  enter(actor: FleetActor, run: () => void): void {
    const former = this.actor;
    this.actor = actor;
    run();
    this.actor = former;
  }

  /** Lets time pass, and what the process has pending in between. */
  async runUntil(ms: number): Promise<void> {
    while (this.nowMs < ms) {
      this.advance(Math.min(ms, this.nowMs + STEP_MS));
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await nextTurn();
    }
  }

  private advance(ms: number): void {
    for (let next = this.schedule.at(-1); next !== undefined && next.atMs <= ms;) {
      this.schedule.pop();
      this.nowMs = next.atMs;
      next.run();
      next = this.schedule.at(-1);
    }
    this.nowMs = ms;
  }

  private set(run: () => void, ms: number): FleetTimer {
    const { actor } = this;
    const timer: FleetTimer = { isCleared: false };
    const runOnce = (): void => {
      if (!timer.isCleared) run();
    };
    this.after(Math.max(1, ms), () => {
      if (actor === undefined) runOnce();
      else actor.deliver('timer', runOnce);
    });
    return timer;
  }
}
