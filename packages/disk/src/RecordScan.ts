/** What a scan of a record file found. */
interface RecordScan {
  /** The values of all whole records, in order. */
  readonly values: readonly unknown[];
  /** Length of the whole records, in bytes; a torn tail stands behind it. */
  readonly validBytes: number;
}

export default RecordScan;
