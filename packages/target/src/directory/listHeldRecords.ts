import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryState from './DirectoryState';

/**
 * Lists the records that this entry holds.
 *
 * @param state - the directory
 * @returns records of targets whose heartbeats this entry receives, and of targets withdrawn here
 */
export default function listHeldRecords(state: DirectoryState): TargetRecord[] {
  return [...state.entries.values()]
    .filter(({ record, isLive }) => record.holder === state.self && (isLive || record.isWithdrawn))
    .map(({ record }) => record);
}
