import type ConsensusState from './ConsensusState';
import type LogEntry from './LogEntry';
import refreshMembers from './refreshMembers';

/**
 * Appends entries to the log, durably.
 *
 * @param state - the replica
 * @param entries - entries that follow the last one without a gap
 */
export default function appendEntries(state: ConsensusState, entries: readonly LogEntry[]): void {
  if (entries.length === 0) return;
  state.log.push(...entries);
  state.outbox.push({ kind: 'write', record: { kind: 'append', entries: [...entries] } });
  refreshMembers(state);
}
