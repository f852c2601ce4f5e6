import { Err, Ok, type Result } from 'ts-results';

import ConsensusRecord from './ConsensusRecord';
import type DurableState from './DurableState';
import type LogEntry from './LogEntry';

function lastIndexOf(state: DurableState): number {
  return state.snapshot.lastIndex + state.log.length;
}

function replayEntries(state: DurableState, entries: readonly LogEntry[]): string | undefined {
  const first = entries[0];
  if (first !== undefined && first.index !== lastIndexOf(state) + 1) {
    return `entry ${first.index} does not follow entry ${lastIndexOf(state)}`;
  }
  state.log.push(...entries);
  return undefined;
}

function replayRecord(state: DurableState, record: ConsensusRecord): string | undefined {
  if (record.kind === 'append') return replayEntries(state, record.entries);
  if (record.kind === 'snapshot') return 'unexpected second snapshot';
  if (record.kind === 'truncate') {
    if (record.fromIndex <= state.snapshot.lastIndex || record.fromIndex > lastIndexOf(state)) {
      return `cannot truncate from entry ${record.fromIndex}: it is not in the log`;
    }
    state.log.length = record.fromIndex - state.snapshot.lastIndex - 1;
    return undefined;
  }
  if (record.term < state.term) return `term ${record.term} is lower than term ${state.term}`;
  state.term = record.term;
  state.votedFor = record.votedFor;
  return undefined;
}

/**
 * Rebuilds the durable state of a replica from its records.
 *
 * @param values - the decoded records, in the order in which they were written
 * @returns the state, or a description of the first invalid record
 */
export default function replayRecords(values: readonly unknown[]): Result<DurableState, string> {
  const records: ConsensusRecord[] = [];
  for (let index = 0; index < values.length; index += 1) {
    const record = ConsensusRecord.safeParse(values[index]);
    if (!record.success) return Err(`record ${index} is malformed: ${record.error.message}`);
    records.push(record.data);
  }
  const first = records[0];
  if (first?.kind !== 'snapshot') return Err('record 0 is not a snapshot');
  const state: DurableState = {
    term: 0, votedFor: undefined, snapshot: first.snapshot, log: [],
  };
  for (let index = 1; index < records.length; index += 1) {
    const error = replayRecord(state, records[index] as ConsensusRecord);
    if (error !== undefined) return Err(`record ${index}: ${error}`);
  }
  return Ok(state);
}
