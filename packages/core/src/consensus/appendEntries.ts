import type ConsensusState from './ConsensusState';
import type LogEntry from './LogEntry';
import refreshMembers from './refreshMembers';

/**
 * Appends entries to the log and requests a durable write of them.
 *
 * @param state - the replica
 * @param entries - entries that directly follow the last entry, without gaps
 */
export default function appendEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  if (entries.length === 0) return;
  state.log.push(...entries);
  state.outbox.push({ kind: 'write', record: { kind: 'append', entries: [...entries] } });
  refreshMembers(state);
}
