import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import type LogLine from './LogLine';
import type VmOptions from './VmOptions';

const BINARY = resolve('dist/guavayard');
const KEY = 'a key for the tests only';
const TOKEN = 'a token for the tests only';

/** One VM of the built binary, as a process with a folder of its own. */
export default class VmProcess {
  readonly folder: string;

  readonly token = TOKEN;

  private child: ChildProcess | undefined;

  private lines: LogLine[] = [];

  private waiters: (() => void)[] = [];

  private unfinished = '';

  constructor(private readonly options: VmOptions) {
    this.folder = mkdtempSync(join(tmpdir(), 'guavayard-'));
    writeFileSync(join(this.folder, 'key'), KEY);
    writeFileSync(join(this.folder, 'token'), TOKEN);
  }

  /** Id of the process, to signal it. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** Whether the process has been started and has not exited. */
  get isRunning(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Starts `guavayard run` and waits until it is started.
   */
  async start(): Promise<void> {
    writeFileSync(join(this.folder, 'settings.toml'), this.settings());
    this.lines = [];
    this.child = spawn(BINARY, ['run', '--settings', join(this.folder, 'settings.toml')], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.child.stdout?.on('data', (chunk: Buffer) => this.receive(chunk.toString()));
    this.child.once('exit', () => this.wake());
    await this.waitForLine((line) => line.msg === 'started');
  }

  /**
   * Runs another command of the binary with the settings of this VM.
   *
   * @param command - name of the command
   * @returns its exit code
   */
  async runCommand(command: string): Promise<number | null> {
    writeFileSync(join(this.folder, 'settings.toml'), this.settings());
    const child = spawn(BINARY, [command, '--settings', join(this.folder, 'settings.toml')], {
      stdio: 'ignore',
    });
    return new Promise((done) => {
      child.once('exit', done);
    });
  }

  /**
   * @param listener - name of a section with a `listen` key
   * @returns the address that the system gave it
   */
  address(listener: string): string {
    const line = this.lines.find((candidate) => candidate.listener === listener);
    if (line?.address === undefined) throw new Error(`${listener} does not listen`);
    return line.address;
  }

  /**
   * @param matches - tells the line that is looked for
   * @returns whether the log has such a line
   */
  hasLine(matches: (line: LogLine) => boolean): boolean {
    return this.lines.some(matches);
  }

  /**
   * Waits for a line of the log.
   *
   * @param matches - tells the line that is waited for
   * @returns the line
   */
  async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const found = this.lines.find(matches);
    if (found !== undefined) return found;
    if (!this.isRunning) throw new Error('the process has exited');
    await new Promise<void>((wake) => {
      this.waiters.push(wake);
    });
    return this.waitForLine(matches);
  }

  /**
   * Sends a signal and waits for the exit.
   *
   * @param signal - the signal
   * @returns the exit code, or null if the signal ended the process
   */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const { child } = this;
    if (child === undefined || !this.isRunning) return null;
    const exited = new Promise<number | null>((done) => {
      child.once('exit', done);
    });
    child.kill(signal);
    return exited;
  }

  /** Stops reading the log, as when the reader has died. */
  closeLog(): void {
    this.child?.stdout?.destroy();
  }

  /** Ends the process and removes its folder. */
  async remove(): Promise<void> {
    await this.stop('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }

  private receive(text: string): void {
    const parts = (this.unfinished + text).split('\n');
    this.unfinished = parts.pop() ?? '';
    this.lines.push(...parts.map((part) => JSON.parse(part) as LogLine));
    this.wake();
  }

  private wake(): void {
    this.waiters.splice(0).forEach((wake) => wake());
  }

  private settings(): string {
    const {
      name, region, dataCentre, roles, control,
    } = this.options;
    return `
[vm]
name = "${name}"
region = "${region}"
dataCentre = "${dataCentre}"
roles = ${JSON.stringify(roles)}
listen = "${this.options.listen ?? '127.0.0.1:0'}"
control = ${JSON.stringify(control)}
keyFile = "${this.folder}/key"
[caller]
listen = "127.0.0.1:0"
[target]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
tokenFile = "${this.folder}/token"
[platform]
listen = "127.0.0.1:0"
noticeMs = ${this.options.noticeMs ?? 0}
[disk]
folder = "${this.folder}/data"
`;
  }
}
