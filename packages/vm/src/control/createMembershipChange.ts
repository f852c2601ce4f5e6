import findTableChange from '@guavayard/core/lease/findTableChange';
import type LeaseTable from '@guavayard/core/lease/LeaseTable';

import type VmIdentity from '../session/VmIdentity';
import type MembershipChange from './MembershipChange';
import type MembershipRevision from './MembershipRevision';

/**
 * Creates the change that brings an entry up to date with the lease table.
 *
 * @param table - the leader's lease table
 * @param known - the revision that the entry holds, undefined if none
 * @returns the change, or undefined if the entry is up to date
 */
export default function createMembershipChange(
  table: LeaseTable<VmIdentity>,
  known: MembershipRevision | undefined,
): MembershipChange | undefined {
  const revision = { term: table.term, count: table.count };
  const base = known?.term === table.term ? known : undefined;
  if (base?.count === table.count) return undefined;
  const changes = base === undefined ? undefined : findTableChange(table, base.count);
  if (changes === undefined) {
    const scope = table.isComplete ? 'whole' : 'union';
    const joined = [...table.leases.values()].map((lease) => lease.holder);
    return {
      scope, revision, joined, left: [],
    };
  }
  return {
    scope: 'delta',
    base,
    revision,
    joined: changes.joined.flatMap((startId) => table.leases.get(startId)?.holder ?? []),
    left: [...changes.left],
  };
}
