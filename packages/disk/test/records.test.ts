import assert from 'node:assert/strict';
import { test } from 'node:test';

import encodeRecord from '../src/encodeRecord';
import scanRecords from '../src/scanRecords';

const RECORDS = Buffer.concat([encodeRecord({ id: 'a' }), encodeRecord({ id: 'b' })]);

test('a record torn at any byte is skipped', () => {
  const first = encodeRecord({ id: 'a' }).length;
  for (let length = first; length < RECORDS.length; length += 1) {
    const scan = scanRecords(RECORDS.subarray(0, length)).unwrap();
    assert.deepEqual(scan.values, [{ id: 'a' }]);
    assert.equal(scan.validBytes, first);
  }
});

test('corruption before the last record is an error', () => {
  const corrupt = Buffer.from(RECORDS);
  corrupt[8] = 0;
  assert.match(scanRecords(corrupt).val as string, /record at byte 0/);
});

test('corruption of the last record is an error, as it may have been acknowledged', () => {
  const corrupt = Buffer.from(RECORDS);
  corrupt[corrupt.length - 1] = 0xff;
  assert.match(scanRecords(corrupt).val as string, /has a wrong checksum/);
});

test('corruption of a length does not hide the records after it', () => {
  const corrupt = Buffer.from(RECORDS);
  corrupt[2] = 0xff;
  assert.match(scanRecords(corrupt).val as string, /record at byte 0/);
});

test('blocks that were never written are skipped as a torn write', () => {
  const sector = 512;
  const large = encodeRecord({ id: 'c'.repeat(sector * 2) });
  const first = RECORDS.length;
  [first, sector, sector * 2].forEach((written) => {
    const torn = Buffer.concat([RECORDS, large]);
    torn.fill(0, written);
    const scan = scanRecords(torn).unwrap();
    assert.equal(scan.validBytes, first);
  });
});

const MARKED = RECORDS.length;

// Guards against damage of synced records that looks like a write that was not completed.
[
  { name: 'reads as zeros', damage: (bytes: Buffer) => bytes.fill(0, MARKED - 1) },
  { name: 'is missing at the end', damage: (bytes: Buffer) => bytes.subarray(0, MARKED - 1) },
  { name: 'has a wrong byte', damage: (bytes: Buffer) => bytes.fill(0xff, MARKED - 1) },
].forEach(({ name, damage }) => {
  test(`a record that is known to be synced and ${name} is an error`, () => {
    assert.match(scanRecords(damage(Buffer.from(RECORDS)), MARKED).val as string, /wrong checksum/);
  });
});

test('damage after what is known to be synced is a torn write, wherever it is', () => {
  const torn = Buffer.concat([RECORDS, encodeRecord({ id: 'c' }), encodeRecord({ id: 'd' })]);
  for (let offset = MARKED; offset < torn.length; offset += 1) {
    const damaged = Buffer.from(torn);
    damaged[offset] = 0xff - (torn[offset] ?? 0);
    const { values } = scanRecords(damaged, MARKED).unwrap();
    assert.deepEqual(values.slice(0, 2), [{ id: 'a' }, { id: 'b' }]);
    assert.equal(values.length < 4, true);
  }
});
