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
/** Time for which the operators send their configurations if they get no clear response. */
const RESEND_MS = 45_000;
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 500;
const RECOVERY_MS = 15_000;
/** Time for which the operator reads back once the system must have recovered. */
const READ_MS = 15_000;

const record = new Recorder(join(import.meta.dirname, 'record.txt'));
const {
  controls, entries, regions, bounds,
} = smallSite;
const system = new Deployment([...controls, ...entries], regions, bounds);
system.onOwnExit = (ip, reason) => record.add(`the process of ${ip} has ended by itself (${reason}); the platform starts it again`);

function log(text) {
  return (attempt) => {
    record.add(`operator: ${text} to ${attempt.address}`, attempt.sentAtMs);
    record.add(`operator: ${attempt.address} answers ${attempt.status || `nothing (${attempt.text})`} to ${text}`);
  };
}

/** Sends a configuration unchanged, to one node after the other, until it gets a clear response. */
async function declare(version, body, limitMs) {
  const text = `PUT /-/config, version ${version},`;
  const endMs = performance.now() + limitMs;
  let backoffMs = FIRST_BACKOFF_MS;
  while (performance.now() < endMs) {
    const [address] = shuffle(system.controls);
    // eslint-disable-next-line no-await-in-loop -- one node is called after the other
    const { status } = await callControl([address], 'PUT', '/-/config', body, log(text));
    if (status === 200 || (status >= 400 && status < 500)) return status;
    // eslint-disable-next-line no-await-in-loop
    await sleep(backoffMs);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
  }
  return 0;
}

/** @returns the version that is read back, undefined if no node returns a configuration */
async function readBack() {
  const { status, text } = await callControl(shuffle(system.controls), 'GET', '/-/config', undefined, log('GET /-/config'));
  return status === 200 ? Number.parseInt(JSON.parse(text).version, 16) : undefined;
}

async function run() {
  await system.start();
  if (await declare(1, createConfiguration(1), 20_000) !== 200) return 2;
  // The pages set no letters for the names of services.
  const name = hasTrouble ? 'lidStock' : 'lidstock';
  // Two operators send at the same time, as the pages allow.
  const [second, third] = await Promise.all([2, 3].map(async (version) => (
    declare(version, createConfiguration(version).replaceAll('stockdesk', name), RESEND_MS))));
  [second, third].forEach((status, index) => record.add(status === 0
    ? `version ${index + 2} got no clear response`
    : `version ${index + 2} was answered ${status}`));
  // Nothing is sent to the system any more until it must have recovered.
  await sleep(RECOVERY_MS);
  let version;
  await waitFor(async () => {
    version = await readBack();
    return version !== undefined;
  }, READ_MS);
  record.add(version === undefined
    ? 'no node returns a configuration, though version 1 was acknowledged'
    : `version ${version} is read back`);
  const acknowledged = [third === 200 && 3, second === 200 && 2, 1].find(Boolean);
  return version === undefined || version < acknowledged ? 1 : 0;
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
