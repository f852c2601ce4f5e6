import assert from 'node:assert/strict';
import { test } from 'node:test';

import createRandom from '@guavayard/core/utils/createRandom';

import PresenceTable from '../src/registry/PresenceTable';
import type VmLocation from '../src/registry/VmLocation';
import ColdEntry from './support/ColdEntry';

const REQUESTS_PER_SECOND = 12.5;
const WINDOW_MS = 1000;
const STEP_MS = 20;
const PRESENCE_INTERVAL_MS = 1000;
/** Longest time that a roster takes to an entry, in milliseconds. */
const MAX_LAG_MS = 500;
/** Time from the start of control until it sends a roster that it did not know, in milliseconds. */
const ROSTER_DELAY_MS = 2000;
const SETTLE_MS = 10_000;
const TROUBLE_MS = 20_000;
const SEEDS = 8;

/** What happens to the entries, beside the start of all. */
interface Trouble {
  readonly name: string;
  /** Called in each step of the trouble. */
  readonly act: (system: ColdSystem, nowMs: number) => void;
  /** Entries that start only during the trouble. */
  readonly joining?: number;
}

/** Entries that follow control and share one cold target, on a virtual clock. */
class ColdSystem {
  nowMs = 0;

  readonly sentAtMs: number[] = [];

  readonly entries: ColdEntry[];

  /** When a trouble begins that happens once; the entries send at any phase of it. */
  readonly troubleAtMs: number;

  private readonly presence = new PresenceTable(() => this.nowMs, 3000);

  private roster: readonly VmLocation[] | undefined;

  /** When control works again; it does if that is past. */
  private controlUpAtMs = 0;

  private rosterDueAtMs = ROSTER_DELAY_MS;

  constructor(count: number, joining: number, readonly random: () => number) {
    this.entries = Array.from({ length: count }, (_, index) => (
      new ColdEntry(`10.0.1.${index}`, REQUESTS_PER_SECOND)));
    this.troubleAtMs = SETTLE_MS + STEP_MS * Math.floor(random() * (WINDOW_MS / STEP_MS));
    this.entries.slice(joining).forEach((entry) => entry.start(0));
  }

  /** Stops control for some time; it forgets the entries with `isForgotten`. */
  stopControl(ms: number, isForgotten: boolean): void {
    this.controlUpAtMs = this.nowMs + ms;
    if (isForgotten) this.roster = undefined;
    this.presence.reset(this.roster ?? []);
    this.rosterDueAtMs = this.controlUpAtMs + (isForgotten ? ROSTER_DELAY_MS : 0);
  }

  step(): void {
    this.nowMs += STEP_MS;
    const hasControl = this.nowMs >= this.controlUpAtMs;
    if (hasControl && this.nowMs % PRESENCE_INTERVAL_MS === 0) this.publish();
    this.entries.forEach((entry) => {
      const sent = entry.step(this.nowMs, this.roster, hasControl);
      for (let count = 0; count < sent; count += 1) this.sentAtMs.push(this.nowMs);
    });
  }

  /** @returns the most requests within one second */
  findPeak(): number {
    let [from, most] = [0, 0];
    this.sentAtMs.forEach((atMs, index) => {
      while ((this.sentAtMs[from] ?? 0) <= atMs - WINDOW_MS) from += 1;
      most = Math.max(most, index - from + 1);
    });
    return most;
  }

  private publish(): void {
    const subscribed = this.entries.filter(({ isSubscribed }) => isSubscribed);
    this.presence.recordContact([], subscribed.map(({ location }) => location));
    if (this.nowMs < this.rosterDueAtMs) return;
    const { entries } = this.presence;
    if (JSON.stringify(entries) === JSON.stringify(this.roster)) return;
    this.roster = entries;
    subscribed.forEach((entry) => {
      entry.deliver({ atMs: this.nowMs + this.random() * MAX_LAG_MS, entries });
    });
  }
}

/** Calls `act` for some entries, on average as often as given for each entry, in milliseconds. */
function each(intervalMs: number, act: (entry: ColdEntry, system: ColdSystem) => void): Trouble['act'] {
  return (system) => system.entries.filter(() => system.random() < STEP_MS / intervalMs)
    .forEach((entry) => act(entry, system));
}

/** @returns an action that happens once, some time after the trouble has begun */
function once(afterMs: number, act: (system: ColdSystem) => void): Trouble['act'] {
  return (system, nowMs) => {
    if (nowMs === system.troubleAtMs + afterMs) act(system);
  };
}

/** @returns an action on half of the entries, undone after some time */
function half(ms: number, key: 'isCut' | 'isFrozen'): Trouble['act'] {
  const set = (system: ColdSystem, isSet: boolean): void => {
    system.entries.slice(0, system.entries.length / 2).forEach((entry) => {
      Object.assign(entry, { [key]: isSet });
    });
  };
  const acts = [once(0, (system) => set(system, true)), once(ms, (system) => set(system, false))];
  return (system, nowMs) => acts.forEach((act) => act(system, nowMs));
}

function startAll({ entries, nowMs }: ColdSystem): void {
  entries.forEach((entry) => entry.start(nowMs));
}

const TROUBLES: readonly Trouble[] = [
  { name: 'starts of all at once', act: once(0, startAll) },
  {
    name: 'two starts of all',
    act: (system, nowMs) => [0, 1200].forEach((afterMs) => once(afterMs, startAll)(system, nowMs)),
  },
  { name: 'starts one by one', act: each(3000, (entry, { nowMs }) => entry.start(nowMs)) },
  {
    name: 'starts of all beside one of control',
    act: once(0, (system) => {
      startAll(system);
      system.stopControl(1500, true);
    }),
  },
  { name: 'a start of control', act: once(0, (system) => system.stopControl(1500, true)) },
  { name: 'changes of the leader', act: (system) => system.random() < 0.01 && system.stopControl(600, false) },
  {
    name: 'entries that join',
    joining: 0.75,
    act: once(0, ({ entries, nowMs }) => entries.filter(({ isRunning }) => !isRunning)
      .forEach((entry) => entry.start(nowMs))),
  },
  { name: 'entries that are cut off from control', act: half(12_000, 'isCut') },
  { name: 'entries that are cut off from control for some seconds', act: half(4000, 'isCut') },
  { name: 'entries that are frozen', act: half(12_000, 'isFrozen') },
  { name: 'entries that are frozen for some seconds', act: half(4000, 'isFrozen') },
  {
    name: 'starts beside entries that are cut off from control',
    act: (system, nowMs) => {
      const third = system.entries.length / 3;
      once(0, ({ entries }) => entries.slice(0, third).forEach((entry) => {
        Object.assign(entry, { isCut: true });
      }))(system, nowMs);
      once(9000, ({ entries }) => entries.slice(-third).forEach((entry) => {
        entry.start(nowMs);
      }))(system, nowMs);
    },
  },
  {
    name: 'entries that come and go',
    act: each(4000, (entry, { random, nowMs }) => {
      const key = (['isCut', 'isFrozen', 'start'] as const)[Math.floor(random() * 3)];
      if (key === 'start' || !entry.isRunning) entry.start(nowMs);
      else if (key !== undefined) Object.assign(entry, { [key]: !entry[key] });
    }),
  },
];

// Guards against entries whose shares of a cold target do not fit together, as they learn of the
// others at different moments or have forgotten what they sent.
[4, 8, 18].forEach((count) => {
  TROUBLES.forEach(({ name, act, joining = 0 }) => {
    test(`${count} entries keep the limit of a cold target through ${name}`, () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const system = new ColdSystem(count, count * joining, createRandom(seed));
        while (system.nowMs < SETTLE_MS + TROUBLE_MS) {
          system.step();
          if (system.nowMs >= SETTLE_MS) act(system, system.nowMs);
        }
        const peak = system.findPeak();
        assert.ok(peak <= REQUESTS_PER_SECOND, `seed ${seed}: ${peak}`);
        assert.ok(system.sentAtMs.some((atMs) => atMs < SETTLE_MS), `seed ${seed}: none before`);
        assert.ok(system.sentAtMs.some((atMs) => atMs > SETTLE_MS), `seed ${seed}: none after`);
      }
    });
  });
});
