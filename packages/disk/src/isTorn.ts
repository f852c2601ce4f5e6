import recordLayout from './recordLayout';

/**
 * Tells a write that was cut by a crash from damage to what was written.
 *
 * The file system may have grown the file before it wrote the blocks, which then read as zeros: a
 * torn record ends in zeros from some sector on, and so does all behind it. Anything else had been
 * synced, so this VM may have promised it, and it may not be dropped.
 *
 * @param bytes - content of the file
 * @param offset - where the record starts that does not match its checksum
 * @param end - where it ends as far as its header tells
 * @returns true if the write was never finished
 */
export default function isTorn(bytes: Buffer, offset: number, end: number): boolean {
  const lastSector = Math.floor((end - 1) / recordLayout.sectorBytes);
  const start = Math.max(offset, lastSector * recordLayout.sectorBytes);
  return bytes.subarray(start).every((byte) => byte === 0);
}
