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
