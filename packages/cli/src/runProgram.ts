import processStop from './run/processStop';

async function runArguments([name, ...rest]: string[]): Promise<number> {
  // A restarting VM is unavailable until it serves, so `serve` loads only the modules it needs.
  if (name === 'serve' && !rest.includes('--help')) {
    const { default: ServeCommand } = await import('./commands/ServeCommand');
    return new ServeCommand().run(rest);
  }
  const { default: runCommandLine } = await import('./runCommandLine');
  return runCommandLine(name === undefined ? [] : [name, ...rest]);
}

/**
 * Handles signals before anything else is loaded: by default they end the process, and a process
 * that starts gets them, too, when its settings change or its VM is stopped.
 */
function handleSignals([name]: string[]): void {
  if (name !== 'serve' && name !== 'run') return;
  processStop.install();
  // The settings have not been read yet, so there is nothing to reload.
  if (name === 'serve') process.on('SIGHUP', () => undefined);
}

/** Runs the command that the arguments of the process name, and sets the exit code. */
export default function runProgram(): void {
  handleSignals(process.argv.slice(2));
  runArguments(process.argv.slice(2)).then((exitCode) => {
    process.exitCode = exitCode;
  }, (err: Error) => {
    process.stderr.write(`guavayard: ${err.stack ?? err.message}\n`);
    process.exit(1);
  });
}
