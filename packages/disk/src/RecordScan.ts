/** Result of scanning a record file. */
interface RecordScan {
  /** Decoded values of all complete records, in order. */
  readonly values: readonly unknown[];
  /** Total length of the complete records, in bytes. Anything after it is a torn write. */
  readonly validBytes: number;
}

export default RecordScan;
