import type TargetRecord from '@guavayard/core/types/TargetRecord';

const MAX_RETIRED_START_IDS = 8;

/**
 * @param record - a record whose start of the target is over
 * @returns the retired start ids of the record that follows it
 */
export default function retireStart(record: TargetRecord): string[] {
  const earlier = record.retiredStartIds.filter((id) => id !== record.announcement.startId);
  return [...earlier, record.announcement.startId].slice(-MAX_RETIRED_START_IDS);
}
