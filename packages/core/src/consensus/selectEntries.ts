import estimateEntryBytes from './estimateEntryBytes';
import type LogEntry from './LogEntry';

const MAX_ENTRIES = 64;
/** Estimated size of an append from which on it takes no further entry, in bytes. */
const MAX_APPEND_BYTES = 4 * 1024 * 1024;

/**
 * Selects the entries of one append. A frame that is longer than its receiver allows closes the
 * session, so that a replica which lacks many large entries would never catch up.
 *
 * @param log - entries after the snapshot
 * @param start - position of the first entry to send
 * @returns entries from there on, at least one if there is any
 */
export default function selectEntries(log: readonly LogEntry[], start: number): LogEntry[] {
  const entries: LogEntry[] = [];
  let bytes = 0;
  log.slice(start, start + MAX_ENTRIES).every((entry) => {
    bytes += estimateEntryBytes(entry);
    if (entries.length > 0 && bytes > MAX_APPEND_BYTES) return false;
    entries.push(entry);
    return true;
  });
  return entries;
}
