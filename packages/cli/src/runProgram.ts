async function runArguments([name, ...rest]: string[]): Promise<number> {
  // A restarting VM is unavailable until it serves, so `serve` loads only the modules it needs.
  if (name === 'serve' && !rest.includes('--help')) {
    const { default: ServeCommand } = await import('./commands/ServeCommand');
    return new ServeCommand().run(rest);
  }
  const { default: runCommandLine } = await import('./runCommandLine');
  return runCommandLine(name === undefined ? [] : [name, ...rest]);
}

/** Runs the command that the arguments of the process name, and sets the exit code. */
export default function runProgram(): void {
  runArguments(process.argv.slice(2)).then((exitCode) => {
    process.exitCode = exitCode;
  }, (err: Error) => {
    process.stderr.write(`guavayard: ${err.stack ?? err.message}\n`);
    process.exit(1);
  });
}
