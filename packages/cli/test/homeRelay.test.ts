import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';

import type EntryServices from '@guavayard/caller/EntryServices';
import HomeRelayExchange from '@guavayard/caller/HomeRelayExchange';
import connectionLimits from '@guavayard/core/connections/connectionLimits';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';

const { maxPerEntry } = connectionLimits;
/** Requests beyond those for which the first entry of the home regions has a connection. */
const MORE = 4;
const TIMEOUT_MS = 5000;

async function listen(t: TestContext, handle: RequestListener): Promise<string> {
  const server = createServer(handle);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts an entry that relays each request to the first home entry that takes it. */
async function startRelay(t: TestContext, homes: readonly string[]): Promise<string> {
  const sender = new UndiciTargetSender();
  t.after(() => {
    // The connections of unanswered requests end with the home entries.
    homes.forEach((home) => sender.closeConnections(home));
  });
  const entry = {
    clock: () => performance.now(),
    sender,
    relay: { sign: () => 'signed' },
    configuration: () => ({}),
  } as unknown as EntryServices;
  return listen(t, (req, res) => {
    new HomeRelayExchange(entry, {
      req,
      method: 'GET',
      path: req.url ?? '',
      deadlineMs: performance.now() + TIMEOUT_MS,
    } as ConstructorParameters<typeof HomeRelayExchange>[1], res, [...homes]).start();
  });
}

// Guards against relayed requests that wait behind others at a home entry while another is free.
test('a request for which no connection to a home entry is left goes to the next one', async (t) => {
  const arrivals: string[] = [];
  const busy = await listen(t, (req) => arrivals.push(`busy ${req.url}`));
  const free = await listen(t, (req, res) => {
    arrivals.push(`free ${req.url}`);
    res.end('served');
  });
  const [host, port] = (await startRelay(t, [busy, free])).split(':');
  let served = 0;
  const isServed = new Promise<void>((resolve) => {
    Array.from({ length: maxPerEntry + MORE }, (_, index) => {
      const req = request({ host, port, path: `/${index}` }, (res) => {
        res.resume();
        served += 1;
        if (served === MORE) resolve();
      });
      req.on('error', () => undefined).end();
      t.after(() => req.destroy());
      return req;
    });
  });
  await isServed;
  assert.equal(arrivals.filter((line) => line.startsWith('free')).length, MORE);
});
