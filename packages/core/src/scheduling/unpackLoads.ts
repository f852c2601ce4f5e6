import type LoadReport from '../types/LoadReport';
import type PackedLoad from './PackedLoad';

const BYTES_PER_LOAD = 3;
/** The lowest 6 bits hold the count, the upper 18 bits the hash. */
const COUNT_RANGE = 64;

/**
 * Decodes a load report of `packLoads`. A truncated last count is ignored.
 *
 * @param report - the load report
 * @returns the counts
 */
export default function unpackLoads(report: LoadReport): PackedLoad[] {
  const buffer = Buffer.from(report.buffer, report.byteOffset, report.byteLength);
  const loads: PackedLoad[] = [];
  for (let at = 0; at + BYTES_PER_LOAD <= buffer.length; at += BYTES_PER_LOAD) {
    const packed = buffer.readUIntBE(at, BYTES_PER_LOAD);
    loads.push({ hash: Math.floor(packed / COUNT_RANGE), inFlight: packed % COUNT_RANGE });
  }
  return loads;
}
