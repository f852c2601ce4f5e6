import findTarget from './findTarget';
import type RegistryChange from './RegistryChange';
import type RegistryState from './RegistryState';

function wouldTakeEffect(state: RegistryState, change: RegistryChange): boolean {
  if (change.kind === 'evacuate') return !state.evacuated.includes(change.dataCentre);
  if (change.kind === 'restore') return state.evacuated.includes(change.dataCentre);
  return change.kind === 'withdraw' && findTarget(state, change.targetId) !== undefined;
}

/**
 * Returns whether a change without a version of its own would undo a later one. Its caller sends it
 * again elsewhere if it gets no response, so one that was delayed may arrive after its successors.
 *
 * @param state - the registry
 * @param change - the change
 * @param changedAtIndex - index of the log entry that last changed the same data centre or target
 * @param basis - index up to which the log was known to the VM that received the call, at that time
 * @returns true if the change must not be carried out
 */
export default function isOvertaken(
  state: RegistryState,
  change: RegistryChange,
  changedAtIndex: number,
  basis: number,
): boolean {
  return changedAtIndex > basis && wouldTakeEffect(state, change);
}
