/* eslint-disable import-x/extensions -- Node resolves modules by their whole name */
/* eslint-disable no-await-in-loop -- one after the other */
/* global process */
import { setTimeout as sleep } from 'node:timers/promises';

import createConfiguration from '../support-2/createConfiguration.mjs';
import Instance from '../support-2/Instance.mjs';
import runCase from '../support-2/runCase.mjs';
import System from '../support-2/System.mjs';

const SERVICE = 'ledger';
const SLOTS = 32;
const WORK_MS = 2500;
const REQUESTS = 24;
const DEADLINE_MS = 8000;
const GRACE_MS = 6000;
const CONFIG_APPLY_MS = 2000;

/** With TROUBLE=0 the case is played without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';
const system = new System();

await runCase(import.meta.url, system, hasTrouble, async (recorder) => {
  await system.configure(createConfiguration(1, [SERVICE], { timeoutS: 10 }));
  const instances = ['i-1', 'i-2'].map((id) => new Instance({
    id, service: SERVICE, slots: SLOTS, workMs: 50,
  }));
  await Promise.all(instances.map(async (instance) => instance.start(system)));
  await system.awaitReady();
  await sleep(1000);
  const send = async (id) => {
    const atMs = Date.now();
    recorder.add(`${id} sent`);
    const result = await system.send({
      method: 'POST', path: `/write-${SERVICE}/x`, id, body: 'hold', deadlineMs: DEADLINE_MS,
    });
    recorder.add(`${id}: ${result.status ?? result.error} after ${result.ms} ms`);
    return { ...result, atMs };
  };
  // Usual traffic, so that the entry knows both instances.
  for (let round = 0; round < 20; round += 1) {
    await Promise.all([0, 1, 2, 3].map(async (count) => system.send({
      method: 'POST', path: `/write-${SERVICE}/x`, id: `usual-${round}-${count}`, body: 'hold',
    })));
    await sleep(50);
  }
  instances.forEach((instance) => Object.assign(instance, { workMs: WORK_MS, runs: [] }));
  if (hasTrouble) {
    await instances[1].drain();
    recorder.add('scale_in: i-2 is draining, acknowledged');
    await sleep(CONFIG_APPLY_MS);
  }
  const sent = Array.from({ length: REQUESTS }, async (_, count) => send(`write-${count}`));
  await sleep(400);
  let termAtMs = Infinity;
  if (hasTrouble) {
    const [entry] = system.entries;
    system.signal(entry, 'SIGTERM');
    termAtMs = Date.now();
    recorder.add('roll_term: SIGTERM to the entry');
  }
  const results = await Promise.all(sent);
  await sleep(300);
  const runs = instances.flatMap((instance) => instance.runs);
  runs.forEach((run) => {
    recorder.add(`${run.id} runs at ${run.instance}`, run.startedAtMs);
    recorder.add(`${run.id} at ${run.instance}: ${run.end}`, run.endedAtMs);
  });
  // LOST: after a SIGTERM, a request at which its instance is at work is broken off, and an answer
  // without the signature of the instance is given in its place.
  return results.filter(({
    id, status, headers, ms, atMs,
  }) => {
    const run = runs.find((other) => other.id === id);
    const endedAtMs = atMs + ms;
    return run !== undefined && run.end !== 'answered' && status !== undefined
      && headers['x-server-signature'] === undefined
      && endedAtMs > termAtMs && endedAtMs < termAtMs + GRACE_MS
      && run.startedAtMs + WORK_MS < termAtMs + (5 / 6) * GRACE_MS && ms < DEADLINE_MS - 500;
  }).map(({ id, status, ms }) => `${id} was at work at its instance, and was answered ${status} by the entry after ${ms} ms`);
});
