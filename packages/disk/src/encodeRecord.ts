import { crc32 } from 'node:zlib';

import { encode } from 'cbor-x';

import recordLayout from './recordLayout';

/**
 * Encodes a value as a record: body length, checksum of the body, checksum of the length, body.
 *
 * @param value - a value that CBOR can represent
 * @returns the bytes of the record
 */
export default function encodeRecord(value: unknown): Buffer {
  const body = encode(value);
  const record = Buffer.allocUnsafe(recordLayout.headerBytes + body.length);
  record.writeUInt32BE(body.length, recordLayout.lengthOffset);
  const length = record.subarray(0, recordLayout.bodyChecksumOffset);
  record.writeUInt32BE(crc32(body), recordLayout.bodyChecksumOffset);
  record.writeUInt32BE(crc32(length), recordLayout.lengthChecksumOffset);
  body.copy(record, recordLayout.headerBytes);
  return record;
}
