import { decode, setSizeLimits } from 'cbor-x';

/**
 * Decodes the body of a frame.
 *
 * A CBOR array states its length in advance, and the library allocates that much. Each element
 * takes at least one byte, so a length beyond that of the frame is invalid.
 *
 * @param frame - body of the frame
 * @returns the decoded value
 * @throws Error if the body is not valid CBOR
 */
export default function decodeFrame(frame: Buffer): unknown {
  setSizeLimits({
    maxArraySize: frame.length, maxMapSize: frame.length, maxObjectSize: frame.length,
  });
  return decode(frame);
}
