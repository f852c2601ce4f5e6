import { syncBuiltinESMExports } from 'node:module';
import { performance } from 'node:perf_hooks';
import promises from 'node:timers/promises';

import SimulatedHost from './SimulatedHost';

interface Event {
  readonly atMs: number;
  readonly action: () => void;
}

interface Timer {
  readonly action: () => void;
  readonly delayMs: number;
  readonly isInterval: boolean;
  /** The VM that has started it, undefined if a test has. */
  readonly host: SimulatedHost | undefined;
  readonly ref: () => Timer;
  readonly unref: () => Timer;
}

const { setImmediate } = globalThis;
const NAMES = ['setTimeout', 'setInterval', 'setImmediate', 'clearTimeout', 'clearInterval'] as const;

/** Virtual time in place of the timers and the monotonic clock of Node.js. */
export default class SimulatedClock {
  nowMs = 0;

  /** What is to happen, in order. */
  private readonly events: Event[] = [];

  private readonly running = new Set<Timer>();

  private readonly originals = NAMES.map((name) => [name, globalThis[name]] as const);

  private readonly originalSleep = promises.setTimeout;

  /** Number of timers that have neither run nor been cleared. */
  get timerCount(): number {
    return this.running.size;
  }

  /** Replaces the timers of the process until `uninstall`. */
  install(): void {
    const clear = (timer?: Timer): void => {
      if (timer !== undefined) this.running.delete(timer);
    };
    Object.assign(globalThis, {
      setTimeout: (action: () => void, delayMs = 0) => this.start(action, delayMs),
      setInterval: (action: () => void, delayMs = 0) => this.start(action, delayMs, true),
      setImmediate: (action: () => void) => this.start(action, 0),
      clearTimeout: clear,
      clearInterval: clear,
    });
    Object.assign(performance, { now: () => this.nowMs });
    Object.assign(promises, {
      setTimeout: async (delayMs: number) => new Promise<void>((resolve) => {
        this.start(resolve, delayMs);
      }),
    });
    syncBuiltinESMExports();
  }

  uninstall(): void {
    Object.assign(globalThis, Object.fromEntries(this.originals));
    Object.assign(promises, { setTimeout: this.originalSleep });
    Reflect.deleteProperty(performance, 'now');
    syncBuiltinESMExports();
  }

  /** Runs an action after a delay, whichever VM is running. */
  after(delayMs: number, action: () => void): void {
    const atMs = this.nowMs + delayMs;
    const index = this.events.findLastIndex((event) => event.atMs <= atMs);
    this.events.splice(index + 1, 0, { atMs, action });
  }

  /** Advances the time; asynchronous functions go on after each millisecond. */
  async run(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.runUntil(Math.min(Math.floor(this.nowMs) + 1, endMs));
      // eslint-disable-next-line no-await-in-loop -- one step after the other
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }

  private runUntil(endMs: number): void {
    while (this.events[0] !== undefined && this.events[0].atMs <= endMs) {
      const { atMs, action } = this.events[0];
      this.events.shift();
      this.nowMs = atMs;
      action();
    }
    this.nowMs = endMs;
  }

  private start(action: () => void, delayMs: number, isInterval = false): Timer {
    const timer: Timer = {
      action,
      delayMs: Math.max(1, delayMs),
      isInterval,
      host: SimulatedHost.current.getStore(),
      ref: () => timer,
      unref: () => timer,
    };
    this.running.add(timer);
    this.arm(timer);
    return timer;
  }

  private arm(timer: Timer): void {
    const { host, delayMs } = timer;
    this.after(delayMs, () => {
      if (host === undefined) this.fire(timer);
      else if (host.isDown) this.running.delete(timer);
      else host.run(() => this.fire(timer));
    });
  }

  private fire(timer: Timer): void {
    if (!this.running.has(timer)) return;
    if (timer.isInterval) this.arm(timer);
    else this.running.delete(timer);
    timer.action();
  }
}
