import { randomUUID } from 'node:crypto';
import { parseArgs } from 'node:util';

import announce from './announce';
import EmulatedTarget from './EmulatedTarget';

const TIME_TO_LIVE_MS = 3000;
const HEARTBEAT_MS = 1000;

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      id: { type: 'string', default: 'target-1' },
      service: { type: 'string', default: 'listing' },
      'data-centre': { type: 'string', default: 'dc-1' },
      entry: { type: 'string', default: '127.0.0.1:7402' },
      slots: { type: 'string', default: '2' },
    },
  });
  const target = new EmulatedTarget(values.id);
  const announcement = {
    id: values.id,
    service: values.service,
    dataCentre: values['data-centre'],
    address: await target.listen(),
    slots: Number(values.slots),
    connectionLimit: 260,
    startId: randomUUID(),
    state: 'ready' as const,
    timeToLiveMs: TIME_TO_LIVE_MS,
  };
  const heartbeat = (): void => {
    announce(values.entry, announcement).catch((err: Error) => {
      process.stderr.write(`${err.message}\n`);
    });
  };
  await announce(values.entry, announcement);
  process.stdout.write(`${JSON.stringify({ announced: announcement.address })}\n`);
  setInterval(heartbeat, HEARTBEAT_MS);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 1;
});
