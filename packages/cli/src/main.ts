async function runArguments([name, ...rest]: string[]): Promise<number> {
  // A VM that is started again is missed until it serves, so only what it needs is loaded.
  if (name === 'serve' && !rest.includes('--help')) {
    const { default: ServeCommand } = await import('./commands/ServeCommand');
    return new ServeCommand().run(rest);
  }
  const { default: runCommandLine } = await import('./runCommandLine');
  return runCommandLine(name === undefined ? [] : [name, ...rest]);
}

runArguments(process.argv.slice(2)).then((exitCode) => {
  process.exitCode = exitCode;
});
