import { spawn } from 'node:child_process';
import { resolve } from 'node:path';

const BINARY = resolve('dist/guavayard');
/** A command that has not ended by then is killed, and has no exit code. */
const LIMIT_MS = 15_000;

/** What one run of the binary gave. */
interface BinaryRun {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/**
 * Runs a command of the built binary to its end.
 *
 * @param args - the words of the command line
 * @returns its exit code and what it printed
 */
export default async function runBinary(...args: string[]): Promise<BinaryRun> {
  const child = spawn(BINARY, args, {
    stdio: ['ignore', 'pipe', 'pipe'], timeout: LIMIT_MS, killSignal: 'SIGKILL',
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
