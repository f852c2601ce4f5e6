import type OwnershipState from './OwnershipState';

/**
 * Takes an entry's promise that it acts as an owner no longer. Nobody waits for its lease.
 *
 * @param state - what this entry knows
 * @param name - name of the entry that leaves
 */
export default function releaseOwner(state: OwnershipState, name: string): void {
  state.views = state.views.map((view) => ({
    ...view, members: view.members.filter((member) => member.name !== name),
  }));
  state.epoch += 1;
}
