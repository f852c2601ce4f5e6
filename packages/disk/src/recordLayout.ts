/** Layout of a record: offsets and sizes, in bytes. */
const recordLayout = {
  lengthOffset: 0,
  bodyChecksumOffset: 4,
  lengthChecksumOffset: 8,
  headerBytes: 12,
  /** Unit in which a disk writes; a torn write leaves complete sectors of zeros. */
  sectorBytes: 512,
} as const;

export default recordLayout;
