import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import type LogLine from './LogLine';
import type VmOptions from './VmOptions';

const BINARY = resolve('dist/guavayard');
const KEY = 'a key for the tests only';
const TOKEN = 'a token for the tests only';

/** A VM that runs as a process of the built binary, with its own folder. */
export default class VmProcess {
  readonly folder: string;

  readonly token = TOKEN;

  private child: ChildProcess | undefined;

  private lines: LogLine[] = [];

  private waiters: (() => void)[] = [];

  private partialLine = '';

  constructor(private readonly options: VmOptions) {
    this.folder = mkdtempSync(join(tmpdir(), 'guavayard-'));
    writeFileSync(join(this.folder, 'key'), KEY);
    writeFileSync(join(this.folder, 'token'), TOKEN);
  }

  /** Id of the process, for sending signals; 0 before the first start. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** Whether the process has been started and has not exited. */
  get isRunning(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Starts `guavayard run` and waits until its log says that it has started.
   */
  async start(): Promise<void> {
    writeFileSync(join(this.folder, 'settings.toml'), this.renderSettings());
    this.lines = [];
    this.child = spawn(BINARY, ['run', '--settings', join(this.folder, 'settings.toml')], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.child.stdout?.on('data', (chunk: Buffer) => this.receive(chunk.toString()));
    this.child.once('exit', () => this.notifyWaiters());
    await this.waitForLine((line) => line.msg === 'started');
  }

  /**
   * Runs another command of the binary with the settings of this VM.
   *
   * @param command - name of the command
   * @returns its exit code, or null if a signal ended it
   */
  async runCommand(command: string): Promise<number | null> {
    writeFileSync(join(this.folder, 'settings.toml'), this.renderSettings());
    const child = spawn(BINARY, [command, '--settings', join(this.folder, 'settings.toml')], {
      stdio: 'ignore',
    });
    return new Promise((done) => {
      child.once('exit', done);
    });
  }

  /**
   * @param listener - name of a section of the settings that has a `listen` key
   * @returns the address on which it listens, with the port that the operating system chose
   * @throws if the log has no such listener
   */
  address(listener: string): string {
    const line = this.lines.find((candidate) => candidate.listener === listener);
    if (line?.address === undefined) throw new Error(`${listener} has not logged its address`);
    return line.address;
  }

  /**
   * @param matches - returns whether a line is the one to find
   * @returns whether the log contains such a line
   */
  hasLine(matches: (line: LogLine) => boolean): boolean {
    return this.lines.some(matches);
  }

  /**
   * Waits for a line of the log.
   *
   * @param matches - returns whether a line is the one to wait for
   * @returns the first such line since the last start
   * @throws if the process exits before it writes such a line
   */
  async waitForLine(matches: (line: LogLine) => boolean): Promise<LogLine> {
    const found = this.lines.find(matches);
    if (found !== undefined) return found;
    if (!this.isRunning) throw new Error('the process exited before it logged the expected line');
    await new Promise<void>((wake) => {
      this.waiters.push(wake);
    });
    return this.waitForLine(matches);
  }

  /**
   * Sends a signal and waits until the process exits.
   *
   * @param signal - the signal
   * @returns the exit code, or null if the signal ended the process or it was not running
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

  /** Closes the reading end of the log pipe, as if the process that reads the log had died. */
  closeLog(): void {
    this.child?.stdout?.destroy();
  }

  /** Kills the process and removes its folder. */
  async remove(): Promise<void> {
    await this.stop('SIGKILL');
    rmSync(this.folder, { recursive: true, force: true });
  }

  private receive(text: string): void {
    const parts = (this.partialLine + text).split('\n');
    this.partialLine = parts.pop() ?? '';
    this.lines.push(...parts.map((part) => JSON.parse(part) as LogLine));
    this.notifyWaiters();
  }

  private notifyWaiters(): void {
    this.waiters.splice(0).forEach((wake) => wake());
  }

  private renderSettings(): string {
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
