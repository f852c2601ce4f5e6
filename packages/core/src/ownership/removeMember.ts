import type OwnershipState from './OwnershipState';

/**
 * Removes an entry that has announced that it no longer acts as an owner, from all views, so that
 * its targets get a new owner without waiting for its lease to expire.
 *
 * @param state - the ownership state of this entry
 * @param name - name of the leaving entry
 */
export default function removeMember(state: OwnershipState, name: string): void {
  state.views = state.views.map((view) => ({
    ...view, members: view.members.filter((member) => member.name !== name),
  }));
  state.epoch += 1;
}
