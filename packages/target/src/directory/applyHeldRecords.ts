import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryEffect from './DirectoryEffect';
import type DirectoryState from './DirectoryState';
import applyRecord from './applyRecord';
import clearConfirmations from './clearConfirmations';

/**
 * Applies the complete list of records that another entry holds. Targets that it held before and
 * that are missing from the list are no longer confirmed.
 *
 * @param state - the directory
 * @param from - name of the entry that sent the list
 * @param records - all records that it holds
 * @param nowMs - monotonic clock
 * @returns updates to send to other entries
 */
export default function applyHeldRecords(
  state: DirectoryState,
  from: string,
  records: readonly TargetRecord[],
  nowMs: number,
): DirectoryEffect[] {
  clearConfirmations(state, from);
  return records.flatMap((record) => applyRecord(state, from, record, nowMs));
}
