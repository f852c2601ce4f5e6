import assert from 'node:assert/strict';
import {
  mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';

import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';

import DataFolder from '../src/DataFolder';
import encodeRecord from '../src/encodeRecord';
import openReplica from '../src/openReplica';
import type OpenedReplica from '../src/OpenedReplica';

const LOG = 'consensus.log';
const MARKS = 'consensus.synced';

function createFolder(t: TestContext): DataFolder {
  const path = mkdtempSync(join(tmpdir(), 'guavayard-'));
  t.after(() => rmSync(path, { recursive: true }));
  return new DataFolder(path);
}

async function open(folder: DataFolder): Promise<OpenedReplica> {
  return (await openReplica(folder, 'a')).unwrap();
}

/** Changes the last byte of a file. */
function damageEnd(path: string): void {
  const bytes = readFileSync(path);
  bytes[bytes.length - 1] = 0xff - (bytes[bytes.length - 1] ?? 0);
  writeFileSync(path, bytes);
}

async function assertRefused(folder: DataFolder): Promise<void> {
  const opened = await openReplica(folder, 'a');
  assert.match(opened.err ? opened.val : 'opened', /wrong checksum/);
}

// Guards against the loss of what was acknowledged: damaged records taken for a torn write.
test('damage of a record that was marked as synced is refused', async (t) => {
  const folder = createFolder(t);
  const { log } = await open(folder);
  await log.append([{ kind: 'vote', term: 1 }]);
  await log.markSynced();
  await log.close();
  damageEnd(folder.pathOf(LOG));
  await assertRefused(folder);
});

test('a record is known to be synced once a start has found it', async (t) => {
  const folder = createFolder(t);
  const { log } = await open(folder);
  await log.append([{ kind: 'vote', term: 1 }]);
  await log.close();
  await (await open(folder)).log.close();
  damageEnd(folder.pathOf(LOG));
  await assertRefused(folder);
});

// Guards against a mark of a replaced log that makes a torn write look like corruption.
test('a mark of a longer log that was replaced is not taken for one of its successor', async (t) => {
  const folder = createFolder(t);
  const { log, durable } = await open(folder);
  for (let term = 1; term <= 20; term += 1) {
    // eslint-disable-next-line no-await-in-loop -- appends follow each other
    await log.append([{ kind: 'vote', term }]);
  }
  await log.markSynced();
  await log.replace(createConsensusRecords({ ...durable, term: 21 }));
  await log.append([{ kind: 'vote', term: 22 }]);
  await log.close();
  damageEnd(folder.pathOf(LOG));
  assert.equal((await open(folder)).durable.term, 21);
});

test('a torn mark leaves the one before', async (t) => {
  const folder = createFolder(t);
  const { log } = await open(folder);
  await log.append([{ kind: 'vote', term: 1 }]);
  await log.markSynced();
  await log.append([{ kind: 'vote', term: 2 }]);
  const marks = readFileSync(folder.pathOf(MARKS));
  await log.markSynced();
  await log.close();
  const torn = readFileSync(folder.pathOf(MARKS));
  torn.forEach((byte, offset) => {
    if (byte !== marks[offset]) torn[offset] = 0xee;
  });
  writeFileSync(folder.pathOf(MARKS), torn);
  damageEnd(folder.pathOf(LOG));
  assert.equal((await open(folder)).durable.term, 1);
});

// Older builds append to the log, replace it, and leave the marks as they are.
test('a log to which an older build has appended, or which it has replaced, opens', async (t) => {
  const folder = createFolder(t);
  const { log, durable, replica } = await open(folder);
  await log.append([{ kind: 'vote', term: 1 }]);
  await log.close();
  const path = folder.pathOf(LOG);
  writeFileSync(path, encodeRecord({ kind: 'vote', term: 2 }), { flag: 'a' });
  const reopened = await open(folder);
  assert.equal(reopened.durable.term, 2);
  await reopened.log.close();
  const records = [{ kind: 'identity', replica }, ...createConsensusRecords({ ...durable, term: 3 })];
  writeFileSync(path, Buffer.concat(records.map(encodeRecord)));
  assert.equal((await open(folder)).durable.term, 3);
});
