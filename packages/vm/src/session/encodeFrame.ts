import { deflateRawSync } from 'node:zlib';

import { encode } from 'cbor-x';

import frameLayout from './frameLayout';

/**
 * Encodes a message as a length-prefixed CBOR frame. Long messages are compressed, because
 * declarations and views repeat their keys, and traffic between regions is paid by volume.
 *
 * @param message - any plain value
 * @returns the bytes to write to the socket
 */
export default function encodeFrame(message: unknown): Buffer {
  const { headerBytes, compressedFlag, minCompressedBytes } = frameLayout;
  const plain = encode(message);
  const isCompressed = plain.length >= minCompressedBytes;
  const body = isCompressed ? deflateRawSync(plain) : plain;
  const frame = Buffer.allocUnsafe(headerBytes + body.length);
  frame.writeUInt32BE(isCompressed ? body.length + compressedFlag : body.length, 0);
  body.copy(frame, headerBytes);
  return frame;
}
