import { parseArgs } from 'node:util';

import runLoad from './runLoad';

const MAX_RATE = 100_000;
const MAX_COUNT = 1_000_000;
const MAX_SECONDS = 600;
const USAGE = `usage: npm run load -- --url URL [--rate N] [--count N] [--seconds N] [--method M] [--timeout-ms N]
`;

function readNumber(value: string, name: string, max: number): number {
  const number = Number(value);
  if (number > 0 && number <= max) return number;
  throw new Error(`--${name}: expected a number above 0, at most ${max}, found ${JSON.stringify(value)}`);
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      url: { type: 'string' },
      rate: { type: 'string', default: '100' },
      count: { type: 'string', default: '1000' },
      seconds: { type: 'string', default: '30' },
      method: { type: 'string', default: 'GET' },
      'timeout-ms': { type: 'string', default: '30000' },
    },
  });
  if (values.url === undefined) throw new Error(USAGE);
  const result = await runLoad({
    url: values.url,
    method: values.method,
    ratePerSecond: readNumber(values.rate, 'rate', MAX_RATE),
    count: readNumber(values.count, 'count', MAX_COUNT),
    durationMs: readNumber(values.seconds, 'seconds', MAX_SECONDS) * 1000,
    timeoutMs: readNumber(values['timeout-ms'], 'timeout-ms', MAX_SECONDS * 1000),
  });
  process.stdout.write(`${JSON.stringify(result, null, 2)}\n`);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 2;
});
