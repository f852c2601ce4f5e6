import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

const MAX_CHANGES = 256;

/**
 * Counts a change of the set of entries.
 *
 * @param state - the table
 * @param joined - start ids of the entries that joined
 * @param left - start ids of the entries that left
 */
export default function noteTableChange<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  joined: readonly string[],
  left: readonly string[],
): void {
  state.count += 1;
  state.changes.push({ count: state.count, joined, left });
  if (state.changes.length > MAX_CHANGES) state.changes.shift();
}
