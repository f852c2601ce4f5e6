import type LoadReport from '../types/LoadReport';

/** Exchange of in-flight counts between the entries of one region. */
interface LoadSharing {
  /**
   * Collects the changes that are worth telling the other entries now.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the report to send, or undefined if there is nothing to tell
   */
  collectReport: (nowMs: number) => LoadReport | undefined;
  /**
   * Takes the report of another entry.
   *
   * @param entryName - the entry that sent it
   * @param report - the report
   * @param nowMs - monotonic clock, in milliseconds
   */
  takeReport: (entryName: string, report: LoadReport, nowMs: number) => void;
  /**
   * Forgets what an entry has told, because its session is over.
   *
   * @param entryName - the entry
   */
  forgetEntry: (entryName: string) => void;
}

export default LoadSharing;
