import assert from 'node:assert/strict';
import {
  mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';

import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import type ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';

import DataFolder from '../src/DataFolder';
import openReplica from '../src/openReplica';
import type OpenedReplica from '../src/OpenedReplica';
import DiskModel from './support/DiskModel';

const MODULUS = 2 ** 31;
const SEEDS = 20;
const MAX_OPERATIONS = 40;
/** Number of entries whose record is larger than what the runtime writes at once. */
const LARGE_APPEND_ENTRIES = 40_000;
/** Number of operations of such an append, at most. */
const LARGE_APPEND_OPERATIONS = 6;

function createRandom(seed: number): () => number {
  let value = seed;
  return () => {
    value = (value * 1_103_515_245 + 12_345) % MODULUS;
    return value / MODULUS;
  };
}

/** What a process has been told is on the disk. */
interface Acknowledged {
  replica?: string;
  term: number;
}

function vote(term: number): ConsensusRecord {
  return { kind: 'vote', term, votedFor: 'a#1' };
}

async function open(): Promise<OpenedReplica> {
  return (await openReplica(new DataFolder('/model/data'), 'a')).unwrap();
}

/** Opens the replica, appends, replaces the log and appends again, with a higher term each time. */
async function play(acknowledged: Acknowledged): Promise<void> {
  const known = acknowledged;
  const { replica, durable, log } = await open();
  known.replica = replica;
  const append = async (term: number): Promise<void> => {
    await log.append([vote(term)]);
    known.term = term;
  };
  const first = durable.term + 1;
  await append(first);
  await append(first + 1);
  await log.markSynced();
  await log.replace(createConsensusRecords({ ...durable, term: first + 2 }));
  known.term = first + 2;
  await append(first + 3);
}

after(() => DiskModel.uninstall());

/** Ends a process at some operation, then the power at some operation of the next process. */
async function loseAfter(random: () => number, killedAt: number | undefined): Promise<string[]> {
  const disk = new DiskModel(random);
  const acknowledged: Acknowledged = { term: 0 };
  const kills = killedAt === undefined ? [] : [killedAt];
  const endPoints = [...kills, Math.floor(random() * MAX_OPERATIONS)];
  disk.install();
  for (let index = 0; index < endPoints.length; index += 1) {
    disk.startProcess(endPoints[index]);
    // eslint-disable-next-line no-await-in-loop -- one process after the other
    await play(acknowledged).catch(() => undefined);
  }
  disk.losePower();
  disk.startProcess(undefined);
  const opened = await open().catch((err: Error) => err);
  if (opened instanceof Error) return [opened.message];
  const { replica, durable: { term } } = opened;
  const isKept = acknowledged.replica === undefined
    || (replica === acknowledged.replica && term >= acknowledged.term);
  return isKept ? [] : [`${replica} in term ${term} instead of ${JSON.stringify(acknowledged)}`];
}

async function findLosses(killedAt: readonly (number | undefined)[]): Promise<string[]> {
  const losses: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    for (let index = 0; index < killedAt.length; index += 1) {
      const random = createRandom(seed * 1000 + index);
      // eslint-disable-next-line no-await-in-loop -- one model at a time replaces the functions
      const found = await loseAfter(random, killedAt[index]);
      losses.push(...found.map((loss) => `seed ${seed}, end ${killedAt[index]}: ${loss}`));
    }
  }
  return losses;
}

// Guards against a VM that does not start: a later part of a torn write was on the disk.
test('a loss of power in a write of many entries leaves a log that can be opened', async () => {
  const command = { kind: 'noop' } as const;
  const entries = Array.from({ length: LARGE_APPEND_ENTRIES }, (_value, position) => (
    { index: position + 1, term: 1, command }));
  const failures: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const disk = new DiskModel(createRandom(seed));
    disk.install();
    /* eslint-disable no-await-in-loop -- one model at a time replaces the functions */
    const { log } = await open();
    disk.startProcess(seed % LARGE_APPEND_OPERATIONS);
    await log.append([{ kind: 'append', entries }]).catch(() => undefined);
    disk.losePower();
    disk.startProcess(undefined);
    await open().catch((err: Error) => failures.push(`seed ${seed}: ${err.message}`));
    /* eslint-enable no-await-in-loop */
  }
  assert.deepEqual(failures, []);
});

const SECTOR_BYTES = 512;
/** Number of entries whose record has several sectors. */
const TORN_ENTRIES = 60;

// Guards against a VM that does not start: the disk kept later sectors of a write only.
test('a log opens with what was synced, whatever sectors of an append are kept', async (t) => {
  const path = mkdtempSync(join(tmpdir(), 'guavayard-'));
  t.after(() => rmSync(path, { recursive: true }));
  DiskModel.uninstall();
  const folder = new DataFolder(path);
  const file = folder.pathOf('consensus.log');
  const { log } = (await openReplica(folder, 'a')).unwrap();
  await log.append([vote(1)]);
  const synced = readFileSync(file);
  const entries = Array.from({ length: TORN_ENTRIES }, (_value, position) => (
    { index: position + 1, term: 1, command: { kind: 'noop' as const } }));
  await log.append([{ kind: 'append', entries }, vote(2)]);
  await log.close();
  const whole = readFileSync(file);
  const others = readdirSync(path).map((name) => folder.pathOf(name))
    .filter((name) => name !== file)
    .map((name) => ({ name, bytes: readFileSync(name) }));
  const failures: string[] = [];
  const sectors = Math.ceil(whole.length / SECTOR_BYTES);
  assert.equal(sectors > 3, true);
  for (let kept = 0; kept < 2 ** sectors; kept += 1) {
    const torn = Buffer.alloc(whole.length);
    synced.copy(torn);
    whole.forEach((byte, offset) => {
      const sector = Math.floor(offset / SECTOR_BYTES);
      // eslint-disable-next-line no-bitwise -- each bit keeps a sector
      if ((kept >> sector) & 1) torn[offset] = byte;
    });
    writeFileSync(file, torn);
    others.forEach(({ name, bytes }) => writeFileSync(name, bytes));
    // eslint-disable-next-line no-await-in-loop -- one content of the folder at a time
    const opened = await openReplica(folder, 'a');
    if (opened.err) failures.push(`sectors ${kept.toString(2)}: ${opened.val}`);
    else if (opened.val.durable.term < 1) failures.push(`sectors ${kept.toString(2)}: lost`);
    // eslint-disable-next-line no-await-in-loop
    if (opened.ok) await opened.val.log.close();
  }
  assert.deepEqual(failures, []);
});

test('a loss of power at any operation keeps what was acknowledged', async () => {
  assert.deepEqual(await findLosses(Array.from({ length: MAX_OPERATIONS })), []);
});

// Guards against a renamed log that a restarted process takes for durable.
test('a loss of power soon after the end of a process keeps what was acknowledged', async () => {
  const killedAt = Array.from({ length: MAX_OPERATIONS }, (_value, index) => index);
  assert.deepEqual(await findLosses(killedAt), []);
});
