import type Member from './Member';
import type OwnershipState from './OwnershipState';

/**
 * Takes a new view of the entries. The former view counts on for the time of a lease, for entries
 * that have not heard of the new one may still act on it.
 *
 * @param state - what this entry knows
 * @param members - the entries, this one included
 * @param nowMs - monotonic clock
 */
export default function takeMembership(
  state: OwnershipState,
  members: readonly Member[],
  nowMs: number,
): void {
  // An entry that starts replaces the owners that there were without it.
  const former = state.views.length > 0
    ? state.views
    : [{ members: members.filter(({ name }) => name !== state.self), replacedAtMs: Infinity }];
  state.views = [
    ...former.map((view) => ({ ...view, replacedAtMs: Math.min(view.replacedAtMs, nowMs) })),
    { members, replacedAtMs: Infinity },
  ];
  state.epoch += 1;
}
