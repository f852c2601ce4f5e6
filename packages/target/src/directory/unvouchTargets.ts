import type DirectoryState from './DirectoryState';

/**
 * Notes that nothing vouches for the targets of a holder any longer. They live on until their time
 * to live runs out, unless an entry that has their heartbeats takes over.
 *
 * @param state - the directory
 * @param holder - name of the entry that was lost
 * @param targetIds - the targets concerned; all that it holds by default
 */
export default function unvouchTargets(
  state: DirectoryState,
  holder: string,
  targetIds: Iterable<string> = state.entries.keys(),
): void {
  [...targetIds].forEach((id) => {
    const entry = state.entries.get(id);
    if (entry?.record.holder !== holder) return;
    state.entries.set(id, { ...entry, vouchedAtMs: -Infinity });
  });
}
