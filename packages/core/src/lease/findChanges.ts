import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import type TableChange from './TableChange';

/**
 * Finds what changed in the set of entries since a count.
 *
 * @param state - the table
 * @param count - the count that a receiver knows
 * @returns the net change, or undefined if only the whole table will do
 */
export default function findChanges<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  count: number,
): TableChange | undefined {
  const oldest = state.changes[0]?.count ?? state.count + 1;
  if (count > state.count || count < oldest - 1) return undefined;
  const changes = state.changes.filter((change) => change.count > count);
  const joined = changes.flatMap((change) => change.joined);
  return {
    count: state.count,
    joined: joined.filter((startId) => state.leases.has(startId)),
    left: changes.flatMap((change) => change.left),
  };
}
