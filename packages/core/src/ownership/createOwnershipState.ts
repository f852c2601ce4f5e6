import type OwnershipState from './OwnershipState';

/**
 * Makes the state of an entry that knows no other entry. It owns nothing.
 *
 * @param self - name of the entry
 * @returns the state
 */
export default function createOwnershipState(self: string): OwnershipState {
  return { self, views: [], epoch: 0 };
}
