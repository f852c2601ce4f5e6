import runCommandLine from './runCommandLine';

runCommandLine(process.argv.slice(2)).then((exitCode) => {
  process.exitCode = exitCode;
});
