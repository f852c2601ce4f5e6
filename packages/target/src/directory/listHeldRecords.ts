import type TargetRecord from '@guavayard/core/types/TargetRecord';

import type DirectoryState from './DirectoryState';

/**
 * @param state - the directory
 * @returns the records whose heartbeats this entry receives, and the withdrawals that it took
 */
export default function listHeldRecords(state: DirectoryState): TargetRecord[] {
  return [...state.entries.values()]
    .filter(({ record, isLive }) => record.holder === state.self && (isLive || record.isWithdrawn))
    .map(({ record }) => record);
}
