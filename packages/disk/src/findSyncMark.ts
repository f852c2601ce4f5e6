import { crc32 } from 'node:zlib';

import type SyncMark from './SyncMark';

/**
 * Finds the mark that says how far a log is known to be synced.
 *
 * @param log - content of the log
 * @param marks - marks, newest first; they may be of a log that this one has replaced
 * @returns the newest mark of this log, undefined if there is none, as after an older build
 */
export default function findSyncMark(
  log: Buffer,
  marks: readonly SyncMark[],
): SyncMark | undefined {
  return marks.find(({ initialBytes, initialChecksum, syncedBytes }) => (
    syncedBytes <= log.length && crc32(log.subarray(0, initialBytes)) === initialChecksum));
}
