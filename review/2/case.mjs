/* eslint import-x/extensions: ['error', 'ignorePackages'] -- Node finds modules by full names. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import Deployment from '../support/Deployment.mjs';
import Recorder from '../support/Recorder.mjs';
import callControl from '../support/callControl.mjs';
import createConfiguration from '../support/createConfiguration.mjs';
import shuffle from '../support/shuffle.mjs';
import smallSite from '../support/smallSite.mjs';
import waitFor from '../support/waitFor.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const CATCH_UP_MS = 4000;
/** Time for which the machines that lose their disks are down: `for_s` of `after_ack_wipe`. */
const DOWN_MS = 3000;
const RECOVERY_MS = 15_000;
const READ_MS = 15_000;
/** Machines that may be lost at the same time. */
const { lostVms } = smallSite.bounds;

const record = new Recorder(join(import.meta.dirname, 'record.txt'));
const {
  controls, entries, regions, bounds,
} = smallSite;
const system = new Deployment([...controls, ...entries], regions, bounds);
system.onOwnExit = (ip, reason) => record.add(`the process of ${ip} has ended by itself (${reason}); the platform starts it again`);

/** @returns whether the version was acknowledged */
async function declare(addresses, version, limitMs) {
  let isAcknowledged = false;
  await waitFor(async () => {
    await callControl(shuffle(addresses), 'PUT', '/-/config', createConfiguration(version), (attempt) => {
      record.add(`operator: version ${version} to ${attempt.address}`, attempt.sentAtMs);
      record.add(`operator: ${attempt.address} answers ${attempt.status || `nothing (${attempt.text})`} to version ${version}`);
      isAcknowledged ||= attempt.status === 200;
    });
    return isAcknowledged;
  }, limitMs);
  return isAcknowledged;
}

async function readBack(addresses) {
  const { status, text } = await callControl(shuffle(addresses), 'GET', '/-/config', undefined, (attempt) => {
    record.add(`operator: ${attempt.address} answers ${attempt.status || `nothing (${attempt.text})`} to GET /-/config`);
  });
  return status === 200 ? Number.parseInt(JSON.parse(text).version, 16) : undefined;
}

async function run() {
  await system.start();
  if (!await declare(system.controls, 1, 20_000)) return 2;
  await sleep(CATCH_UP_MS);
  const replaced = system.findLeader();
  const { zone } = controls.find(({ ip }) => ip === replaced);
  const successor = { ip: '127.40.0.9', zone, role: 'control' };
  record.add(`${successor.ip} starts with an empty disk, to replace ${replaced}`);
  system.addVm(successor);
  await sleep(CATCH_UP_MS + 1000);
  record.add(`${replaced} gets SIGTERM and is removed`);
  await system.stopVm(replaced, 'SIGTERM');
  const removedAtMs = performance.now();
  const remaining = system.controls.filter((address) => !address.startsWith(`${replaced}:`));
  await sleep(removedAtMs + CATCH_UP_MS - performance.now());
  if (!await declare(remaining, 2, 5000)) return 2;
  if (hasTrouble) {
    const leader = system.findLeader();
    const others = shuffle(remaining.map((address) => address.split(':')[0])
      .filter((ip) => ip !== leader));
    record.add(`leader of control: ${leader}`);
    const lost = [leader, ...others].slice(0, lostVms);
    record.add(`${lost.join(' and ')} lose their power and their disks, ${((performance.now() - removedAtMs) / 1000).toFixed(2)} s after ${replaced} was removed`);
    await Promise.all(lost.map(async (ip) => system.stopVm(ip, 'SIGKILL')));
    lost.forEach((ip) => system.wipeDisk(ip));
    await sleep(DOWN_MS);
    lost.forEach((ip) => system.startVm(ip));
    record.add(`${lost.join(' and ')} start again with empty disks`);
  }
  await sleep(RECOVERY_MS);
  let version;
  await waitFor(async () => {
    version = await readBack(remaining);
    return version !== undefined;
  }, READ_MS);
  record.add(version === undefined
    ? 'no node returns a configuration, though version 2 was acknowledged'
    : `version ${version} is read back`);
  return version === undefined || version < 2 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (err) {
  record.add(`could not run: ${err.stack}`);
} finally {
  await system.close();
  record.write();
}
process.exit(code);
