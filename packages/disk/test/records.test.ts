import assert from 'node:assert/strict';
import { test } from 'node:test';

import encodeRecord from '../src/encodeRecord';
import scanRecords from '../src/scanRecords';

const RECORDS = Buffer.concat([encodeRecord({ id: 'a' }), encodeRecord({ id: 'b' })]);

test('a tail torn at any byte is left out', () => {
  const first = encodeRecord({ id: 'a' }).length;
  for (let length = first; length < RECORDS.length; length += 1) {
    const scan = scanRecords(RECORDS.subarray(0, length)).unwrap();
    assert.deepEqual(scan.values, [{ id: 'a' }]);
    assert.equal(scan.validBytes, first);
  }
});

test('damage before the last record is an error', () => {
  const damaged = Buffer.from(RECORDS);
  damaged[8] = 0;
  assert.match(scanRecords(damaged).val as string, /record at byte 0/);
});

test('damage to the last record is an error, for it may have been promised', () => {
  const damaged = Buffer.from(RECORDS);
  damaged[damaged.length - 1] = 0xff;
  assert.match(scanRecords(damaged).val as string, /has a wrong checksum/);
});

test('damage to a length does not hide the records behind it', () => {
  const damaged = Buffer.from(RECORDS);
  damaged[2] = 0xff;
  assert.match(scanRecords(damaged).val as string, /record at byte 0/);
});

test('blocks that were never written are a torn tail', () => {
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
