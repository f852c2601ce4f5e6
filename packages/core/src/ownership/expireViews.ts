import ownershipLeaseMs from './ownershipLeaseMs';
import type OwnershipState from './OwnershipState';

/**
 * Removes views that were replaced so long ago that no entry can act on them any more.
 *
 * @param state - the ownership state of this entry
 * @param nowMs - monotonic clock, in milliseconds
 */
export default function expireViews(state: OwnershipState, nowMs: number): void {
  const views = state.views.filter((view) => view.replacedAtMs + ownershipLeaseMs > nowMs);
  if (views.length === state.views.length) return;
  state.views = views;
  state.epoch += 1;
}
