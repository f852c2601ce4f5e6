import type LogEntry from './LogEntry';

/** Estimated size of an entry besides the document that it may hold, in bytes. */
const ENTRY_BYTES = 1024;
/** Size of a decoded declaration with its source, as a multiple of the source. */
const DECLARATION_FACTOR = 3;

/**
 * Estimates the size of an entry without encoding it.
 *
 * @param entry - the entry
 * @returns its size in bytes
 */
export default function estimateEntryBytes({ command }: LogEntry): number {
  if (command.kind !== 'registry' || command.change.kind !== 'declare') return ENTRY_BYTES;
  return ENTRY_BYTES + DECLARATION_FACTOR * command.change.declaration.source.length;
}
