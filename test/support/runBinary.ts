import { spawn } from 'node:child_process';
import { resolve } from 'node:path';

const BINARY = resolve('dist/guavayard');
/** A command that runs longer is killed; its exit code is then null. */
const TIMEOUT_MS = 15_000;

/** The exit code and the output of one run of the binary. */
interface BinaryRun {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a command of the built binary until it exits.
 *
 * @param args - the command line arguments
 * @returns its exit code, standard output and standard error
 */
export default async function runBinary(...args: string[]): Promise<BinaryRun> {
  const child = spawn(BINARY, args, {
    stdio: ['ignore', 'pipe', 'pipe'], timeout: TIMEOUT_MS, killSignal: 'SIGKILL',
  });
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk: Buffer) => {
    stdout += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    stderr += chunk.toString();
  });
  return new Promise((done) => {
    child.once('close', (exitCode) => done({ exitCode, stdout, stderr }));
  });
}
