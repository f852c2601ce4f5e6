import { crc32 } from 'node:zlib';

import { decode } from 'cbor-x';
import { Err, Ok, type Result } from 'ts-results';

import isTornWrite from './isTornWrite';
import recordLayout from './recordLayout';
import type RecordScan from './RecordScan';

const { headerBytes, bodyChecksumOffset, lengthChecksumOffset } = recordLayout;

function isLengthValid(header: Buffer): boolean {
  const length = header.subarray(0, bodyChecksumOffset);
  return crc32(length) === header.readUInt32BE(lengthChecksumOffset);
}

/**
 * Decodes all records of a file.
 *
 * A torn write at the end was never synced, so nothing was acknowledged based on it and it is
 * skipped. Any other record with a wrong checksum is corrupt and an error, even if it is the last
 * one, because it may contain an accepted patch.
 *
 * @param bytes - content of the file
 * @param syncedBytes - length of what is known to be synced, in bytes: damage from there on is a
 *   torn write, damage before it is corruption; undefined if it is not known
 * @returns the records, or a message with the offset of the corrupt record
 */
export default function scanRecords(
  bytes: Buffer,
  syncedBytes?: number,
): Result<RecordScan, string> {
  const values: unknown[] = [];
  let offset = 0;
  while (offset + headerBytes <= bytes.length) {
    const header = bytes.subarray(offset, offset + headerBytes);
    const isHeaderValid = isLengthValid(header);
    const end = offset + headerBytes + header.readUInt32BE(0);
    if (isHeaderValid && end > bytes.length) break;
    const body = bytes.subarray(offset + headerBytes, end);
    if (!isHeaderValid || crc32(body) !== header.readUInt32BE(bodyChecksumOffset)) {
      const declaredEnd = isHeaderValid ? end : offset + headerBytes;
      if (syncedBytes !== undefined || isTornWrite(bytes, offset, declaredEnd)) break;
      return Err(`record at byte ${offset} has a wrong checksum`);
    }
    values.push(decode(body));
    offset = end;
  }
  if (offset < (syncedBytes ?? 0)) return Err(`record at byte ${offset} has a wrong checksum`);
  return Ok({ values, validBytes: offset });
}
