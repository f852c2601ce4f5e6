import type LoadReport from '../types/LoadReport';

/** Sharing of in-flight counts between the entries of one region. */
interface LoadSharing {
  /**
   * Collects the changes that are due to be reported to the other entries.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the report to send, or undefined if none is due
   */
  collectReport: (nowMs: number) => LoadReport | undefined;
  /**
   * Applies the report of another entry.
   *
   * @param entryName - the entry that sent it
   * @param report - the report
   * @param nowMs - monotonic clock, in milliseconds
   */
  applyReport: (entryName: string, report: LoadReport, nowMs: number) => void;
  /**
   * Discards the counts reported by an entry whose session has ended.
   *
   * @param entryName - the entry
   */
  discardEntryLoads: (entryName: string) => void;
}

export default LoadSharing;
