import type TargetRecord from '@guavayard/core/types/TargetRecord';

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/**
 * Orders two records of one target. The order is total, so that entries which receive the same
 * updates in different orders converge on the same record.
 *
 * @param left - a record
 * @param right - another record of the same target
 * @returns below 0 if `left` is older, above 0 if it is newer, 0 if they are the same
 */
export default function compareRecords(left: TargetRecord, right: TargetRecord): number {
  return left.generation - right.generation
    || left.sequence - right.sequence
    || left.claim - right.claim
    || compareText(left.holder, right.holder)
    || compareText(left.announcement.startId, right.announcement.startId);
}
