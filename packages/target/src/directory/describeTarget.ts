import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';
import type TargetRecord from '@guavayard/core/types/TargetRecord';

/**
 * @param record - what is known of a target
 * @returns its announcement, as ready once its owner has found it warm
 */
export default function describeTarget({ announcement, isWarm }: TargetRecord): TargetAnnouncement {
  if (announcement.state !== 'cold' || !isWarm) return announcement;
  return { ...announcement, state: 'ready' };
}
