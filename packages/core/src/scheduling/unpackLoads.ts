import type PackedLoad from './PackedLoad';

const BYTES_PER_LOAD = 4;
const HASH_BYTES = 3;

/**
 * Unpacks what `packLoads` made. An incomplete last count is left out.
 *
 * @param bytes - the bytes of a load report
 * @returns the counts
 */
export default function unpackLoads(bytes: Uint8Array): PackedLoad[] {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const loads: PackedLoad[] = [];
  for (let at = 0; at + BYTES_PER_LOAD <= buffer.length; at += BYTES_PER_LOAD) {
    loads.push({
      hash: buffer.readUIntBE(at, HASH_BYTES), inFlight: buffer.readUInt8(at + HASH_BYTES),
    });
  }
  return loads;
}
