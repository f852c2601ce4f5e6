/* eslint import-x/extensions: ['error', 'ignorePackages'] -- Node finds modules by full names. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import Deployment from '../support/Deployment.mjs';
import Recorder from '../support/Recorder.mjs';
import Target from '../support/Target.mjs';
import callControl from '../support/callControl.mjs';
import createConfiguration from '../support/createConfiguration.mjs';
import sendRequest from '../support/sendRequest.mjs';
import smallSite from '../support/smallSite.mjs';
import waitFor from '../support/waitFor.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ZONE = 'tn-yongkang';
/** Time for which the control machine is frozen: `for_s` of `node_freeze` in the site file. */
const FREEZE_MS = 4000;
const EVACUATION_MS = 5000;
const CONTACT_MS = 3000;
/** Time for which requests are sent after the evacuation must be in force everywhere. */
const WATCH_MS = 6000;
const DEADLINE_MS = 1500;

const record = new Recorder(join(import.meta.dirname, 'record.txt'));
const {
  controls, entries, regions, bounds,
} = smallSite;
const system = new Deployment([...controls, ...entries], regions, bounds);
const targets = Object.keys(regions).flatMap((zone) => [1, 2].map((number) => new Target({
  id: `i-${zone}-${number}`, service: 'stockdesk', zone, slots: 4, workMs: 20, controls: () => system.controls,
})));
let sent = 0;
const sentAtMs = new Map();

async function order(addresses, method, path, body) {
  const { status } = await callControl(addresses, method, path, body, (attempt) => {
    record.add(`operator: ${method} ${path} to ${attempt.address}`, attempt.sentAtMs);
    record.add(`operator: ${attempt.address} answers ${attempt.status || `nothing (${attempt.text})`} to ${method} ${path}`);
  });
  return status === 200;
}

async function request(index) {
  sent += 1;
  const id = `q-${sent}`;
  const host = system.entries[index];
  sentAtMs.set(id, performance.now());
  record.add(`client: ${id} to ${host}`);
  const { status } = await sendRequest({
    host, port: system.callerPort, name: 'lids.example', path: `/lids/${sent}`, id, deadlineMs: DEADLINE_MS,
  });
  record.add(`client: ${id} is answered ${status}`);
  return status;
}

async function sendRequests(durationMs) {
  const endMs = performance.now() + durationMs;
  const pending = [];
  while (performance.now() < endMs) {
    system.entries.forEach((_, index) => pending.push(request(index)));
    // eslint-disable-next-line no-await-in-loop -- the load is spread over the time
    await sleep(50);
  }
  return Promise.all(pending);
}

async function prepare() {
  await system.start();
  const isConfigured = await waitFor(async () => order(system.controls, 'PUT', '/-/config', createConfiguration(1)), 20_000);
  if (!isConfigured) throw new Error('the configuration was not acknowledged');
  await Promise.all(targets.map(async (target) => target.start()));
  const isServing = await waitFor(async () => (await Promise.all([0, 1, 2].map(request)))
    .every((status) => status === 200), 10_000);
  if (!isServing) throw new Error('the system does not serve');
}

async function run() {
  await prepare();
  const leader = system.findLeader();
  // The machine that freezes is not the leader, so the core stays able to decide.
  const frozen = controls.map(({ ip }) => ip).find((ip) => ip !== leader);
  const others = system.controls.filter((address) => !address.startsWith(`${frozen}:`));
  const first = `${frozen}:${system.controlPort}`;
  record.add(`leader of control: ${leader}; the machine that freezes: ${frozen}`);
  if (!await order(others, 'POST', `/-/evacuate/${ZONE}`)) return 2;
  await sendRequests(2000);
  if (hasTrouble) {
    system.signal(frozen, 'SIGSTOP');
    record.add(`${frozen} freezes`);
  }
  const thaws = sleep(FREEZE_MS).then(() => {
    if (!hasTrouble) return;
    system.signal(frozen, 'SIGCONT');
    record.add(`${frozen} wakes`);
  });
  if (!await order([first, ...others], 'DELETE', `/-/evacuate/${ZONE}`)) return 2;
  await sendRequests(1000);
  if (!await order(others, 'POST', `/-/evacuate/${ZONE}`)) return 2;
  const ackedAtMs = performance.now();
  await thaws;
  // All machines are in touch again, and the bound of the evacuation has passed.
  const forceAtMs = Math.max(ackedAtMs + EVACUATION_MS, performance.now() + CONTACT_MS) + 500;
  await sleep(forceAtMs - performance.now());
  record.add(`from here on, no request may reach an instance in ${ZONE}`);
  await sendRequests(WATCH_MS);
  const late = targets.filter(({ options: { zone } }) => zone === ZONE)
    .flatMap(({ arrivals, options: { id } }) => (
      arrivals.map((arrival) => ({ ...arrival, target: id }))))
    .filter(({ id }) => sentAtMs.get(id) >= forceAtMs);
  late.forEach(({
    id, target, atMs, from,
  }) => record.add(`instance: ${id} reaches ${target} from ${from}`, atMs));
  record.add(`${late.length} requests reached instances in ${ZONE}, which is evacuated`);
  return late.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (err) {
  record.add(`could not run: ${err.stack}`);
} finally {
  controls.forEach(({ ip }) => system.processes.has(ip) && system.signal(ip, 'SIGCONT'));
  targets.forEach((target) => target.close());
  await system.close();
  record.write();
}
process.exit(code);
