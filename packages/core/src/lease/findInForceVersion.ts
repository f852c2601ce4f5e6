import type LeaseHolder from './LeaseHolder';
import type LeaseTable from './LeaseTable';

/**
 * Finds the highest version that no entry can dispatch behind.
 *
 * @param state - the table, without lapsed leases
 * @param version - the latest accepted version
 * @returns the version, or undefined while leases of an earlier leader may be valid
 */
export default function findInForceVersion<Holder extends LeaseHolder>(
  state: LeaseTable<Holder>,
  version: number,
): number | undefined {
  if (!state.isComplete) return undefined;
  // An entry that holds no configuration cannot dispatch at all.
  const held = [...state.leases.values()].map((lease) => lease.heldVersion ?? version);
  return Math.min(version, ...held);
}
