import type DirectoryState from './DirectoryState';

/**
 * Records that a holder no longer confirms its targets. They stay live until their time to live
 * elapses, unless an entry that receives their heartbeats takes over.
 *
 * @param state - the directory
 * @param holder - name of the entry that was lost or released the targets
 * @param targetIds - the affected targets; defaults to all that it holds
 */
export default function clearConfirmations(
  state: DirectoryState,
  holder: string,
  targetIds: Iterable<string> = state.entries.keys(),
): void {
  [...targetIds].forEach((id) => {
    const entry = state.entries.get(id);
    if (entry?.record.holder !== holder) return;
    state.entries.set(id, { ...entry, confirmedAtMs: -Infinity });
  });
}
