import recordLayout from './recordLayout';

/**
 * Distinguishes a write that a crash interrupted from corruption of synced data, for a log of which
 * no mark says how far it was synced.
 *
 * The file system may extend a file before it writes the blocks, which then read as zeros. So after
 * a torn write, everything from the last sector of the record to the end of the file is zero.
 * Anything else had been synced: this VM may have acknowledged it, so it must not be dropped.
 *
 * @param bytes - content of the file
 * @param offset - offset of the record whose checksum does not match
 * @param end - end of the record according to its header
 * @returns true if the write was not completed
 */
export default function isTornWrite(bytes: Buffer, offset: number, end: number): boolean {
  const lastSector = Math.floor((end - 1) / recordLayout.sectorBytes);
  const start = Math.max(offset, lastSector * recordLayout.sectorBytes);
  return bytes.subarray(start).every((byte) => byte === 0);
}
