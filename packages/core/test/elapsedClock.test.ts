import assert from 'node:assert/strict';
import { test } from 'node:test';

import createElapsedClock from '../src/clock/createElapsedClock';
import type Clock from '../src/types/Clock';

interface Rig {
  readonly clock: Clock;
  readonly run: (ms: number) => void;
  readonly suspend: (ms: number) => void;
  readonly stepTimeOfDay: (ms: number) => void;
  readonly uptimeReadings: () => number;
}

function createRig(): Rig {
  let steadyMs = 1000;
  let uptimeMs = 500_000;
  let timeOfDayMs = 1e12;
  let readings = 0;
  const clock = createElapsedClock({
    steadyMs: () => steadyMs,
    timeOfDayMs: () => timeOfDayMs,
    uptimeMs: () => {
      readings += 1;
      // The kernel rounds it down to hundredths of a second.
      return Math.floor(uptimeMs / 10) * 10;
    },
  });
  return {
    clock,
    run: (ms) => {
      steadyMs += ms;
      uptimeMs += ms;
      timeOfDayMs += ms;
    },
    suspend: (ms) => {
      uptimeMs += ms;
      timeOfDayMs += ms;
    },
    stepTimeOfDay: (ms) => {
      timeOfDayMs += ms;
    },
    uptimeReadings: () => readings,
  };
}

test('time passes while the VM runs, without a reading of the uptime', () => {
  const { clock, run, uptimeReadings } = createRig();
  const startedMs = clock();
  const readings = uptimeReadings();
  for (let count = 0; count < 1000; count += 1) {
    run(1);
    clock();
  }
  assert.equal(clock() - startedMs, 1000);
  assert.equal(uptimeReadings(), readings);
});

test('time passes while the VM is suspended, each time anew', () => {
  const { clock, run, suspend } = createRig();
  const startedMs = clock();
  [3000, 50, 60_000].forEach((ms) => {
    run(7);
    suspend(ms);
    clock();
  });
  const elapsedMs = clock() - startedMs;
  assert.ok(Math.abs(elapsedMs - 63_071) <= 30, `${elapsedMs} ms`);
});

test('steps of the time of day do not count, also beside a suspend', () => {
  const { clock, suspend, stepTimeOfDay } = createRig();
  const startedMs = clock();
  stepTimeOfDay(5000);
  assert.equal(clock(), startedMs);
  stepTimeOfDay(-9000);
  assert.equal(clock(), startedMs);
  stepTimeOfDay(-2000);
  suspend(4000);
  assert.ok(Math.abs(clock() - startedMs - 4000) <= 10);
});

test('the clock never goes back', () => {
  const {
    clock, run, suspend, stepTimeOfDay,
  } = createRig();
  let lastMs = clock();
  const steps = [
    () => suspend(40), () => stepTimeOfDay(-100), () => run(3), () => stepTimeOfDay(30),
    () => suspend(15),
  ];
  for (let count = 0; count < 200; count += 1) {
    steps[(count * 7) % steps.length]?.();
    const nowMs = clock();
    assert.ok(nowMs >= lastMs);
    lastMs = nowMs;
  }
});
