/* eslint-disable import-x/extensions -- Node resolves modules by their whole name */
/* global process, setTimeout */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import Recorder from './Recorder.mjs';

const LIMIT_MS = 110_000;

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param url - `import.meta.url` of the case
 * @param system - the system, not started yet
 * @param hasTrouble - whether the case is played with its disruption
 * @param play - plays the case; resolves with the lines that describe how the rule was broken
 */
export default async function runCase(url, system, hasTrouble, play) {
  const recorder = new Recorder(dirname(fileURLToPath(url)));
  let code = 2;
  const end = () => {
    recorder.write();
    system.close();
    process.exit(code);
  };
  setTimeout(() => {
    recorder.add('the case took too long');
    end();
  }, LIMIT_MS);
  try {
    recorder.add(hasTrouble ? 'with the disruption' : 'without the disruption');
    await system.start();
    const breaches = await play(recorder);
    breaches.forEach((line) => recorder.add(`BROKEN ${line}`));
    system.unexpectedEnds.forEach((line) => recorder.add(`process ended: ${JSON.stringify(line)}`));
    recorder.add(breaches.length === 0 ? 'the rule held' : `the rule was broken: ${breaches.length} times`);
    code = breaches.length === 0 ? 0 : 1;
  } catch (err) {
    recorder.add(`the case could not run: ${err.stack}`);
  }
  end();
}
