import assert from 'node:assert/strict';
import { after, test } from 'node:test';

import createConsensusRecords from '@guavayard/core/consensus/createConsensusRecords';
import LogWriter from '@guavayard/vm/control/LogWriter';

import DataFolder from '../src/DataFolder';
import openReplica from '../src/openReplica';
import type OpenedReplica from '../src/OpenedReplica';
import DiskModel from './support/DiskModel';

/** Number of operations of an open and the writes after it, at most. */
const MAX_OPERATIONS = 45;
/** Numbers of operations that the disk refuses in a row: one, an attempt, several attempts. */
const REFUSED = [1, 5, 17];
const SEEDS = 5;
const MODULUS = 2 ** 31;

function createRandom(seed: number): () => number {
  let value = seed;
  return () => {
    value = (value * 1_103_515_245 + 12_345) % MODULUS;
    return value / MODULUS;
  };
}

async function open(): Promise<OpenedReplica> {
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      return (await openReplica(new DataFolder('/model/data'), 'a')).unwrap();
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code !== 'EIO') throw err;
    }
  }
}

/** Writes terms, a new log and further terms; returns the last one that was said to be synced. */
async function play(): Promise<number> {
  const { durable, log } = await open();
  const writer = new LogWriter({ store: log, clock: () => 0, retryIntervalMs: 0 });
  const state = { ...durable };
  for (let term = 1; term <= 6; term += 1) {
    state.term = term;
    const records = term === 3 ? createConsensusRecords(state) : [{ kind: 'vote' as const, term }];
    // eslint-disable-next-line no-await-in-loop -- writes are sequential
    if (!await writer.write(records, state)) return term - 1;
  }
  return 6;
}

after(() => DiskModel.uninstall());

// Guards against acknowledgements that rest on writes that a disk has refused.
test('a loss of power after writes that the disk refused keeps what was acknowledged', async () => {
  const losses: string[] = [];
  for (let from = 0; from < MAX_OPERATIONS; from += 1) {
    for (let seed = 1; seed <= SEEDS * REFUSED.length; seed += 1) {
      const disk = new DiskModel(createRandom(seed * 1000 + from));
      const count = REFUSED[seed % REFUSED.length] ?? 1;
      disk.install();
      disk.refuse(from, from + count);
      /* eslint-disable no-await-in-loop -- one model at a time replaces the functions */
      const acknowledged = await play();
      disk.losePower();
      const { durable } = await open();
      /* eslint-enable no-await-in-loop */
      if (acknowledged !== 6) losses.push(`from ${from}, seed ${seed}: stopped at ${acknowledged}`);
      if (durable.term < acknowledged) losses.push(`from ${from}, seed ${seed}: term ${durable.term} instead of ${acknowledged}`);
    }
  }
  assert.deepEqual(losses, []);
});
