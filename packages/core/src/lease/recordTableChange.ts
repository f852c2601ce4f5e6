import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

const MAX_RETAINED_CHANGES = 256;

/**
 * Records a change of the set of entries.
 *
 * @param state - the lease table
 * @param joined - start ids of the entries that joined
 * @param left - start ids of the entries that left
 */
export default function recordTableChange<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  joined: readonly string[],
  left: readonly string[],
): void {
  state.count += 1;
  state.changes.push({ count: state.count, joined, left });
  if (state.changes.length > MAX_RETAINED_CHANGES) state.changes.shift();
}
