import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';
import type TableChange from './TableChange';

/**
 * Computes how the set of entries has changed since a given revision of the table.
 *
 * @param state - the lease table
 * @param count - the `count` of the revision that the receiver has
 * @returns the net change, or undefined if the receiver needs the full table
 */
export default function findTableChange<Holder extends LeaseHolder>(
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
