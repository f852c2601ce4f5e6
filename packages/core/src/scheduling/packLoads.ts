import type LoadReport from '../types/LoadReport';
import type PackedLoad from './PackedLoad';

const BYTES_PER_LOAD = 3;
/** The lowest 6 bits hold the count, the upper 18 bits the hash. */
const COUNT_RANGE = 64;

/**
 * Packs in-flight counts into 3 bytes each.
 *
 * @param loads - the counts; a count above 63 is encoded as 63
 * @returns the load report
 */
export default function packLoads(loads: readonly PackedLoad[]): LoadReport {
  const bytes = Buffer.allocUnsafe(loads.length * BYTES_PER_LOAD);
  loads.forEach(({ hash, inFlight }, index) => {
    const packed = hash * COUNT_RANGE + Math.min(inFlight, COUNT_RANGE - 1);
    bytes.writeUIntBE(packed, index * BYTES_PER_LOAD, BYTES_PER_LOAD);
  });
  return bytes;
}
