import assert from 'node:assert/strict';
import { once } from 'node:events';
import {
  copyFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import { connect, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';

import TlsTransport from '../src/session/TlsTransport';
import type SessionHandler from '../src/session/SessionHandler';
import VmHub from '../src/session/VmHub';
import type VmIdentity from '../src/session/VmIdentity';

const KEY = 'the key of the system';
const CERTIFICATES = join(__dirname, 'support/certificates');
const IGNORE: SessionHandler = { onOpen() {}, onMessage() {}, onClose() {} };

function createIdentity(name: string, host = '127.0.0.1'): VmIdentity {
  return {
    name, region: 'munster', dataCentre: 'cork', startId: 'start', roles: ['entry'], address: `${host}:1`,
  };
}

function createTransport(name: string, authority = 'ca'): TlsTransport {
  return new TlsTransport({
    certificateFile: join(CERTIFICATES, `${name}.pem`),
    keyFile: join(CERTIFICATES, `${name}.key`),
    authorityFile: join(CERTIFICATES, `${authority}.pem`),
  });
}

async function listen(t: TestContext, transport: TlsTransport): Promise<number> {
  const hub = new VmHub(KEY, createIdentity('vm-1'), { transport });
  hub.netServer.listen(0, '127.0.0.1');
  await once(hub.netServer, 'listening');
  t.after(() => hub.close());
  return (hub.netServer.address() as AddressInfo).port;
}

/** Connects to a listener. Resolves with the first event of the session. */
async function openSession(
  t: TestContext,
  port: number,
  transport: TlsTransport | undefined,
  identity = createIdentity('vm-2'),
): Promise<'open' | 'closed'> {
  const hub = new VmHub(KEY, identity, { transport });
  t.after(() => hub.close());
  return new Promise((resolve) => {
    hub.addHandler({ ...IGNORE, onOpen: () => resolve('open'), onClose: () => resolve('closed') });
    hub.connect(`127.0.0.1:${port}`);
  });
}

test('two VMs with certificates of the authority open a session', async (t) => {
  const port = await listen(t, createTransport('member'));
  assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
});

test('a peer without a valid certificate that names its address opens no session', async (t) => {
  const port = await listen(t, createTransport('member'));
  const cases: [string, TlsTransport | undefined, VmIdentity][] = [
    ['no TLS', undefined, createIdentity('vm-2')],
    ['another authority', createTransport('outsider'), createIdentity('vm-2')],
    ['another address in the certificate', createTransport('stranger-host'), createIdentity('vm-2')],
    ['another address claimed', createTransport('other-member'), createIdentity('vm-2', '127.0.0.9')],
  ];
  await Promise.all(cases.map(async ([name, transport, identity]) => {
    assert.equal(await openSession(t, port, transport, identity), 'closed', name);
  }));
});

test('bytes that are no TLS handshake leave the listener serving', async (t) => {
  const port = await listen(t, createTransport('member'));
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(Buffer.alloc(2000, 7));
  await new Promise((resolve) => {
    socket.on('close', resolve);
  });
  assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
});

test('a reload puts new certificates in use, and keeps the former ones if they are invalid', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'guavayard-tls-'));
  t.after(() => rmSync(folder, { recursive: true }));
  const files = {
    certificateFile: join(folder, 'vm.pem'), keyFile: join(folder, 'vm.key'), authorityFile: join(CERTIFICATES, 'ca.pem'),
  };
  const install = (name: string): void => {
    copyFileSync(join(CERTIFICATES, `${name}.pem`), files.certificateFile);
    copyFileSync(join(CERTIFICATES, `${name}.key`), files.keyFile);
  };
  install('outsider');
  const transport = new TlsTransport(files);
  const port = await listen(t, transport);
  assert.equal(await openSession(t, port, createTransport('other-member')), 'closed');
  install('member');
  transport.reload();
  assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
  writeFileSync(files.certificateFile, 'no certificate');
  assert.throws(() => transport.reload());
  assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
});

// Guards against files that are not whole at a reload, after which no session could be opened.
[
  { name: 'a certificate', file: 'certificateFile' },
  { name: 'a key', file: 'keyFile' },
  { name: 'an authority', file: 'authorityFile' },
].forEach(({ name, file }) => {
  test(`${name} that is not whole at a start or a reload is an error, and is not put in use`, async (t) => {
    const folder = mkdtempSync(join(tmpdir(), 'guavayard-tls-'));
    t.after(() => rmSync(folder, { recursive: true }));
    const whole = { certificateFile: 'member.pem', keyFile: 'member.key', authorityFile: 'ca.pem' };
    const files = {
      certificateFile: join(folder, 'a'), keyFile: join(folder, 'b'), authorityFile: join(folder, 'c'),
    };
    const install = (): void => (Object.keys(files) as (keyof typeof files)[])
      .forEach((key) => copyFileSync(join(CERTIFICATES, whole[key]), files[key]));
    install();
    const transport = new TlsTransport(files);
    const port = await listen(t, transport);
    const path = files[file as keyof typeof files];
    ['', '-----BEGIN'].forEach((content) => {
      writeFileSync(path, content);
      assert.throws(() => new TlsTransport(files));
      assert.throws(() => transport.reload());
    });
    assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
    install();
    transport.reload();
    assert.equal(await openSession(t, port, createTransport('other-member')), 'open');
  });
});
