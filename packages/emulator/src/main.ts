import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { parseArgs } from 'node:util';

import announce from './announce';
import ControlListener from './ControlListener';
import EmulatedTarget from './EmulatedTarget';
import type TargetBehaviour from './TargetBehaviour';

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
      behaviour: { type: 'string', default: '{}' },
      control: { type: 'string', default: '0' },
    },
  });
  const behaviour = JSON.parse(values.behaviour) as Partial<TargetBehaviour>;
  const target = new EmulatedTarget(values.id, { slots: Number(values.slots), ...behaviour });
  target.onCrash = () => process.exit(1);
  const control = new ControlListener(target).server;
  control.listen(Number(values.control), '127.0.0.1');
  await once(control, 'listening');
  const announcement = {
    id: values.id,
    service: values.service,
    dataCentre: values['data-centre'],
    address: await target.listen(),
    slots: target.behaviour.slots,
    connectionLimit: 260,
    startId: randomUUID(),
    state: 'ready' as const,
    probePath: '/guavayard/probe',
    timeToLiveMs: TIME_TO_LIVE_MS,
  };
  const heartbeat = (): void => {
    announce(values.entry, announcement).catch((err: Error) => {
      process.stderr.write(`${err.message}\n`);
    });
  };
  await announce(values.entry, announcement);
  const { port } = control.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ announced: announcement.address, control: `127.0.0.1:${port}` })}\n`);
  setInterval(heartbeat, HEARTBEAT_MS);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 1;
});
