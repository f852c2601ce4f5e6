import type Member from './Member';
import type OwnershipState from './OwnershipState';

/**
 * Adds a new view of the membership. Previous views stay valid for the duration of a lease, because
 * entries that have not received the new one may still act on them.
 *
 * @param state - the ownership state of this entry
 * @param members - the entries, this one included
 * @param nowMs - monotonic clock, in milliseconds
 */
export default function updateMembership(
  state: OwnershipState,
  members: readonly Member[],
  nowMs: number,
): void {
  // The first view of a starting entry replaces the membership without that entry, whose members
  // may still act as owners.
  const previous = state.views.length > 0
    ? state.views
    : [{ members: members.filter(({ name }) => name !== state.self), replacedAtMs: Infinity }];
  state.views = [
    ...previous.map((view) => ({ ...view, replacedAtMs: Math.min(view.replacedAtMs, nowMs) })),
    { members, replacedAtMs: Infinity },
  ];
  state.epoch += 1;
}
