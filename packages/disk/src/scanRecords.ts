import { crc32 } from 'node:zlib';

import { decode } from 'cbor-x';
import { Err, Ok, type Result } from 'ts-results';

import isTorn from './isTorn';
import recordLayout from './recordLayout';
import type RecordScan from './RecordScan';

const { headerBytes, bodyChecksumOffset, lengthChecksumOffset } = recordLayout;

function isLengthValid(header: Buffer): boolean {
  const length = header.subarray(0, bodyChecksumOffset);
  return crc32(length) === header.readUInt32BE(lengthChecksumOffset);
}

/**
 * Reads all records of a file.
 *
 * A tail that a crash cut short was never synced, so nothing was promised on it, and it is left
 * out. Any other record that does not match its checksum is damage, and an error, the last one
 * included: it may hold an accepted patch.
 *
 * @param bytes - content of the file
 * @returns the records, or where the damage is
 */
export default function scanRecords(bytes: Buffer): Result<RecordScan, string> {
  const values: unknown[] = [];
  let offset = 0;
  while (offset + headerBytes <= bytes.length) {
    const header = bytes.subarray(offset, offset + headerBytes);
    const isHeaderValid = isLengthValid(header);
    const end = offset + headerBytes + header.readUInt32BE(0);
    if (isHeaderValid && end > bytes.length) break;
    const body = bytes.subarray(offset + headerBytes, end);
    if (!isHeaderValid || crc32(body) !== header.readUInt32BE(bodyChecksumOffset)) {
      const claimedEnd = isHeaderValid ? end : offset + headerBytes;
      if (isTorn(bytes, offset, claimedEnd)) break;
      return Err(`record at byte ${offset} has a wrong checksum`);
    }
    values.push(decode(body));
    offset = end;
  }
  return Ok({ values, validBytes: offset });
}
