import { crc32 } from 'node:zlib';

import { decode } from 'cbor-x';
import { Err, Ok, type Result } from 'ts-results';

import type RecordScan from './RecordScan';

const HEADER_BYTES = 8;

/**
 * Reads all records of a file.
 *
 * A last record that is cut short was never acknowledged and is left out. A wrong checksum with
 * whole records behind it is damage, and an error.
 *
 * @param bytes - content of the file
 * @returns the records, or where the damage is
 */
export default function scanRecords(bytes: Buffer): Result<RecordScan, string> {
  const values: unknown[] = [];
  let offset = 0;
  while (offset + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(offset);
    const end = offset + HEADER_BYTES + length;
    if (end > bytes.length) break;
    const body = bytes.subarray(offset + HEADER_BYTES, end);
    if (crc32(body) !== bytes.readUInt32BE(offset + 4)) {
      if (end === bytes.length) break;
      return Err(`record at byte ${offset} has a wrong checksum`);
    }
    values.push(decode(body));
    offset = end;
  }
  return Ok({ values, validBytes: offset });
}
