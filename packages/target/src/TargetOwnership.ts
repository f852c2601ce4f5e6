import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/** Looks up which entry owns a target. */
interface TargetOwnership {
  /** @returns a number that changes whenever the owner of any target may have changed */
  epoch: () => number;
  /**
   * @param target - announcement of the target
   * @returns name of the entry that owns it, or undefined while no owner is certain
   */
  ownerOf: (target: TargetAnnouncement) => string | undefined;
}

export default TargetOwnership;
