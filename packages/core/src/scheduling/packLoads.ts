import type LoadReport from '../types/LoadReport';
import type PackedLoad from './PackedLoad';

const BYTES_PER_LOAD = 4;
const MAX_COUNT = 255;
const HASH_BYTES = 3;

/**
 * Packs in-flight counts into 4 bytes each: 3 of the hash, 1 of the count.
 *
 * @param loads - the counts; a count above 255 travels as 255
 * @returns the bytes of a load report
 */
export default function packLoads(loads: readonly PackedLoad[]): LoadReport['loads'] {
  const bytes = Buffer.allocUnsafe(loads.length * BYTES_PER_LOAD);
  loads.forEach(({ hash, inFlight }, index) => {
    bytes.writeUIntBE(hash, index * BYTES_PER_LOAD, HASH_BYTES);
    bytes.writeUInt8(Math.min(inFlight, MAX_COUNT), index * BYTES_PER_LOAD + HASH_BYTES);
  });
  return bytes;
}
