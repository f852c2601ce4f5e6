import assert from 'node:assert/strict';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

import runBinary from './support/runBinary';

interface FailedStart {
  readonly name: string;
  /** Removes or blocks a file that the settings name. */
  readonly prepare: (folder: string) => void;
  readonly isCallerPortTaken: boolean;
  readonly message: RegExp;
}

const FAILED_STARTS: readonly FailedStart[] = [
  {
    name: 'a missing token',
    prepare: (folder) => rmSync(join(folder, 'token')),
    isCallerPortTaken: false,
    message: /operator\.tokenFile: .*token cannot be read: ENOENT/,
  },
  {
    name: 'a data folder that is a file',
    prepare: (folder) => writeFileSync(join(folder, 'data'), ''),
    isCallerPortTaken: false,
    message: /disk\.folder: .*data is not writable: EEXIST/,
  },
  {
    name: 'a port in use, after the control role has started',
    prepare: () => undefined,
    isCallerPortTaken: true,
    message: /caller\.listen: cannot listen on .*: the address is in use by another process/,
  },
];

function createSettings(folder: string, callerAddress: string): string {
  return `
[vm]
name = "vm-1"
region = "munster"
dataCentre = "munster-1"
roles = ["entry", "control"]
listen = "127.0.0.1:0"
control = ["127.0.0.1:1"]
keyFile = "${folder}/key"
[caller]
listen = "${callerAddress}"
[target]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
tokenFile = "${folder}/token"
[disk]
folder = "${folder}/data"
`;
}

FAILED_STARTS.forEach(({
  name, prepare, isCallerPortTaken, message,
}) => {
  test(`a failed start reports its cause and exits with code 1: ${name}`, async (t) => {
    const folder = mkdtempSync(join(tmpdir(), 'guavayard-'));
    const blocker = createServer().listen(0, '127.0.0.1');
    t.after(() => {
      blocker.close();
      rmSync(folder, { recursive: true });
    });
    await once(blocker, 'listening');
    const takenAddress = `127.0.0.1:${(blocker.address() as AddressInfo).port}`;
    writeFileSync(join(folder, 'key'), 'a key for the tests only');
    writeFileSync(join(folder, 'token'), 'a token for the tests only');
    prepare(folder);
    const settings = join(folder, 'settings.toml');
    writeFileSync(settings, createSettings(folder, isCallerPortTaken ? takenAddress : '127.0.0.1:0'));
    const run = await runBinary('run', '--settings', settings);
    assert.match(run.stderr, message);
    assert.equal(run.exitCode, 1);
  });
});
