import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

/**
 * Finds the version in force: the highest one such that no entry can dispatch under an older
 * version.
 *
 * @param state - the lease table, without expired leases
 * @param version - the latest accepted version
 * @returns the version, or undefined while leases of an earlier leader may still be valid
 */
export default function findInForceVersion<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  version: number,
): number | undefined {
  if (!state.isComplete) return undefined;
  // An entry without a configuration cannot dispatch at all, so it does not lower the minimum.
  const held = [...state.leases.values()].map((lease) => lease.heldVersion ?? version);
  return Math.min(version, ...held);
}
