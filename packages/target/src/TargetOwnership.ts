import type TargetAnnouncement from '@guavayard/core/types/TargetAnnouncement';

/** Tells which entries own which targets. */
interface TargetOwnership {
  /** @returns a number that changes whenever an owner may have changed */
  epoch: () => number;
  /**
   * @param target - a target
   * @returns name of its owner, or undefined while nobody is sure to own it
   */
  ownerOf: (target: TargetAnnouncement) => string | undefined;
}

export default TargetOwnership;
