import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type TargetRecord from '@guavayard/core/types/TargetRecord';

/**
 * Presents a cold target as ready once its owner has declared it warm.
 *
 * @param record - the record of a target
 * @returns its announcement, with the effective state
 */
export default function applyWarmState({ announcement, isWarm }: TargetRecord): TargetAnnouncement {
  if (announcement.state !== 'cold' || !isWarm) return announcement;
  return { ...announcement, state: 'ready' };
}
