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
