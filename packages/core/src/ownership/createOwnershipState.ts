import type OwnershipState from './OwnershipState';

/**
 * Creates the state of an entry without a view of the membership, which owns no targets.
 *
 * @param self - name of this entry
 * @returns the state
 */
export default function createOwnershipState(self: string): OwnershipState {
  return { self, views: [], epoch: 0 };
}
