import { crc32 } from 'node:zlib';

import { encode } from 'cbor-x';

const HEADER_BYTES = 8;

/**
 * Encodes a value as a record: its length, its checksum and its CBOR bytes.
 *
 * @param value - any plain value
 * @returns the bytes of the record
 */
export default function encodeRecord(value: unknown): Buffer {
  const body = encode(value);
  const record = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  record.writeUInt32BE(body.length, 0);
  record.writeUInt32BE(crc32(body), 4);
  body.copy(record, HEADER_BYTES);
  return record;
}
