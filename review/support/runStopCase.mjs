/* eslint import-x/extensions: ['error', 'ignorePackages'] -- Node finds modules by full names. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import Deployment from './Deployment.mjs';
import Recorder from './Recorder.mjs';
import Target from './Target.mjs';
import callControl from './callControl.mjs';
import createConfiguration from './createConfiguration.mjs';
import sendRequest from './sendRequest.mjs';
import smallSite from './smallSite.mjs';
import waitFor from './waitFor.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const TARGETS = 3;
const SLOTS = 2;
/** Time for which an instance works on a request. */
const WORK_MS = 2500;
/** The client's deadline, and the `timeout_s` of the route. */
const DEADLINE_MS = 5000;
const TIMEOUT_S = 5;
const LATENCY_S = 0.4;
const OK = 200;

async function prepare(system, targets, isSafe) {
  await system.start();
  const configuration = createConfiguration(1, {
    route: {
      route_type: isSafe ? 'safe' : 'unsafe', timeout_s: TIMEOUT_S, target_latency_s: LATENCY_S,
    },
  });
  const isConfigured = await waitFor(async () => (
    await callControl(system.controls, 'PUT', '/-/config', configuration)).status === OK, 20_000);
  const areKnown = await Promise.all(targets.map(async (target) => target.start()));
  // The entry has received the configuration and the instances by then.
  await sleep(1500);
  return isConfigured && areKnown.every(Boolean);
}

async function run(record, system, targets, isSafe) {
  if (!await prepare(system, targets, isSafe)) return 2;
  const [host] = system.entries;
  const requests = Array.from({ length: TARGETS * SLOTS }, (_, index) => `q-${index + 1}`);
  const pending = requests.map(async (id) => {
    record.add(`client: ${id} to ${host}`);
    const answer = await sendRequest({
      host,
      port: system.callerPort,
      name: 'lids.example',
      path: `/lids/${id}`,
      id,
      deadlineMs: DEADLINE_MS,
      ...(isSafe ? {} : { body: 'order' }),
    });
    record.add(`client: ${id} is answered ${answer.status || 'nothing'}, signature ${answer.signature ?? 'none'}: ${answer.text}`);
    return { id, ...answer, atMs: performance.now() };
  });
  await sleep(300);
  if (hasTrouble) {
    record.add(`${host} gets SIGTERM`);
    system.signal(host, 'SIGTERM');
  }
  const answers = await Promise.all(pending);
  await sleep(WORK_MS);
  targets.forEach(({ arrivals, options }) => arrivals.forEach(({
    id, atMs, hasRun, endedAtMs, isBrokenOff,
  }) => {
    record.add(`instance: ${id} reaches ${options.id}${hasRun ? ' and runs' : ', which does not run it'}`, atMs);
    if (endedAtMs !== undefined) record.add(`instance: ${options.id} ends its work on ${id}${isBrokenOff ? ', whose connection was closed before' : ''}`, endedAtMs);
  }));
  const broken = answers.filter(({ id, status, signature }) => {
    const hasRun = targets.some(({ arrivals }) => (
      arrivals.some((arrival) => arrival.id === id && arrival.hasRun)));
    return hasRun && (status !== OK || signature === undefined);
  });
  record.add(`${broken.length} of ${answers.length} requests were broken off while an instance was at work on them`);
  // Only what is broken off around a planned stop counts.
  return hasTrouble && broken.length > 0 ? 1 : 0;
}

/**
 * Runs a planned stop of an entry while instances are at work on long requests.
 *
 * @param folder - folder of the case
 * @param options - `isSafe`, whether the route is `safe`, and `isMute`, whether the instances do
 *   not tell their load and let health checks wait for a slot
 */
export default async function runStopCase(folder, { isSafe, isMute }) {
  const record = new Recorder(join(folder, 'record.txt'));
  const {
    controls, entries, regions, bounds,
  } = smallSite;
  const system = new Deployment([...controls, entries[0]], regions, bounds);
  const targets = Array.from({ length: TARGETS }, (_, index) => new Target({
    id: `i-${index + 1}`,
    service: 'stockdesk',
    zone: entries[0].zone,
    slots: SLOTS,
    workMs: WORK_MS,
    isMute,
    controls: () => system.controls,
  }));
  let code = 2;
  try {
    code = await run(record, system, targets, isSafe);
  } catch (err) {
    record.add(`could not run: ${err.stack}`);
  } finally {
    targets.forEach((target) => target.close());
    await system.close();
    record.write();
  }
  process.exit(code);
}
