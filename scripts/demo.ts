import { spawn, type ChildProcess } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import {
  existsSync, mkdirSync, writeFileSync,
} from 'node:fs';

import { request } from 'undici';

import announce from '@guavayard/emulator/announce';
import EmulatedTarget from '@guavayard/emulator/EmulatedTarget';
import OperatorClient from '@guavayard/operator/OperatorClient';

const FOLDER = '.demo';
const CALLER_ADDRESS = '127.0.0.1:7401';
const TARGET_ADDRESS = '127.0.0.1:7402';
const OPERATOR_ADDRESS = '127.0.0.1:7403';
const SECRET_BYTES = 24;
const SECRET_MODE = 0o600;
const HEARTBEAT_MS = 1000;
const TIME_TO_LIVE_MS = 5000;

const SETTINGS = `# One VM with both roles: the embedded default.
[vm]
name = "vm-1"
region = "munster"
dataCentre = "munster-1"
roles = ["entry", "control"]
listen = "127.0.0.1:7400"
control = ["127.0.0.1:7400"]
keyFile = "${FOLDER}/key"

[caller]
listen = "${CALLER_ADDRESS}"

[target]
listen = "${TARGET_ADDRESS}"

[operator]
listen = "${OPERATOR_ADDRESS}"
tokenFile = "${FOLDER}/token"

[disk]
folder = "${FOLDER}/data"

[platform]
listen = "127.0.0.1:7404"
`;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function runBinary(...args: string[]): ChildProcess {
  return spawn('dist/guavayard', args, { stdio: ['ignore', 'pipe', 'inherit'] });
}

async function waitForExit(child: ChildProcess): Promise<number | null> {
  return new Promise((resolve) => {
    child.once('exit', resolve);
  });
}

async function waitForLine(child: ChildProcess, text: string): Promise<void> {
  return new Promise((resolve, reject) => {
    let output = '';
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      if (output.includes(text)) resolve();
    });
    child.once('exit', () => reject(new Error(`guavayard exited before it was ready: ${output}`)));
  });
}

async function writeSettings(): Promise<string> {
  const token = randomBytes(SECRET_BYTES).toString('hex');
  mkdirSync(FOLDER, { recursive: true });
  writeFileSync(`${FOLDER}/settings.toml`, SETTINGS);
  writeFileSync(`${FOLDER}/key`, randomBytes(SECRET_BYTES).toString('hex'), { mode: SECRET_MODE });
  writeFileSync(`${FOLDER}/token`, token, { mode: SECRET_MODE });
  if (!existsSync(`${FOLDER}/data`)) {
    await waitForExit(runBinary('init', '--settings', `${FOLDER}/settings.toml`));
  }
  return token;
}

async function configure(client: OperatorClient): Promise<void> {
  const current = (await client.configuration()).unwrap();
  if (current.version > 0) return;
  const version = await client.submit({
    id: 'demo',
    base: 0,
    operations: [
      { op: 'add', path: '/services/listing', value: {} },
      { op: 'add', path: '/dataCentres/munster-1', value: { region: 'munster', state: 'in' } },
      { op: 'add', path: '/routes/lots', value: { pathPrefix: '/lots', service: 'listing' } },
    ],
  });
  print(`the initial configuration was accepted as version ${version.unwrap()}`);
}

async function startTarget(): Promise<void> {
  const target = new EmulatedTarget('target-1');
  const announcement = {
    id: 'target-1',
    service: 'listing',
    dataCentre: 'munster-1',
    address: await target.listen(),
    slots: 2,
    connectionLimit: 260,
    startId: randomBytes(8).toString('hex'),
    state: 'ready' as const,
    timeToLiveMs: TIME_TO_LIVE_MS,
  };
  await announce(TARGET_ADDRESS, announcement);
  setInterval(() => {
    announce(TARGET_ADDRESS, announcement).catch((err: Error) => print(err.message));
  }, HEARTBEAT_MS).unref();
}

async function main(): Promise<void> {
  const token = await writeSettings();
  const vm = runBinary('run', '--settings', `${FOLDER}/settings.toml`);
  await waitForLine(vm, '"msg":"started"');
  await configure(new OperatorClient(`http://${OPERATOR_ADDRESS}`, token));
  await startTarget();
  const response = await request(`http://${CALLER_ADDRESS}/lots/42`);
  print(`GET /lots/42 -> ${response.statusCode} ${(await response.body.text()).trim()}`);
  print(`guavayard is running; try: curl -i http://${CALLER_ADDRESS}/lots/42`);
  print(`status: dist/guavayard status --url http://${OPERATOR_ADDRESS} --token-file ${FOLDER}/token`);
  print('Press Ctrl-C to stop.');
  process.on('SIGINT', () => undefined);
  process.on('SIGTERM', () => vm.kill('SIGTERM'));
  await waitForExit(vm);
  process.exit();
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exit(1);
});
