import recordLayout from './recordLayout';
import scanRecords from './scanRecords';
import SyncMark from './SyncMark';

const { sectorBytes } = recordLayout;

/**
 * Decodes a file of marks. It has a sector for marks of odd and one for those of even sequence, so
 * a torn write leaves the mark before.
 *
 * @param bytes - content of the file
 * @returns the marks that are whole, newest first
 */
export default function readSyncMarks(bytes: Buffer): SyncMark[] {
  const sectors = [bytes.subarray(0, sectorBytes), bytes.subarray(sectorBytes, 2 * sectorBytes)];
  const marks = sectors.flatMap((sector) => {
    const scan = scanRecords(sector);
    const mark = SyncMark.safeParse(scan.ok ? scan.val.values[0] : undefined);
    return mark.success ? [mark.data] : [];
  });
  return marks.sort((a, b) => b.sequence - a.sequence);
}
