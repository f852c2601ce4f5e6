import type TargetRecord from '@guavayard/core/types/TargetRecord';

const MAX_RETIRED_START_IDS = 8;

/**
 * Adds the start id of a record to its retired start ids and drops the oldest beyond the limit.
 *
 * @param record - record of an incarnation of the target that has ended
 * @returns the retired start ids for the next record
 */
export default function addRetiredStartId(record: TargetRecord): string[] {
  const earlier = record.retiredStartIds.filter((id) => id !== record.announcement.startId);
  return [...earlier, record.announcement.startId].slice(-MAX_RETIRED_START_IDS);
}
