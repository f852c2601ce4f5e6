import buildBinary from './build/buildBinary';

buildBinary(process.argv[2] ?? 'dist').catch((err: Error) => {
  process.stderr.write(`${err.stack}\n`);
  process.exitCode = 1;
});
