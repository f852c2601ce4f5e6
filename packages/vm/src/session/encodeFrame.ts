import { encode } from 'cbor-x';

const HEADER_BYTES = 4;

/**
 * Encodes a message as a length-prefixed CBOR frame.
 *
 * @param message - any plain value
 * @returns the bytes to write to the socket
 */
export default function encodeFrame(message: unknown): Buffer {
  const body = encode(message);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}
