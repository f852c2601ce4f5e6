import ownershipLeaseMs from './ownershipLeaseMs';
import type OwnershipState from './OwnershipState';

/**
 * Forgets the views on which no entry acts any longer.
 *
 * @param state - what this entry knows
 * @param nowMs - monotonic clock
 */
export default function expireViews(state: OwnershipState, nowMs: number): void {
  const views = state.views.filter((view) => view.replacedAtMs + ownershipLeaseMs > nowMs);
  if (views.length === state.views.length) return;
  state.views = views;
  state.epoch += 1;
}
