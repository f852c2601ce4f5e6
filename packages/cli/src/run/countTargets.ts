import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type VmStatus from '@guavayard/core/types/VmStatus';

type EntryStatus = NonNullable<VmStatus['entry']>;

/**
 * Counts targets by state, and the targets that an entry owns.
 *
 * @param targets - live targets
 * @param owner - name of the entry
 * @returns the counts of the entry's status
 */
export default function countTargets(
  targets: readonly KnownTarget[],
  owner: string,
): Pick<EntryStatus, 'targets' | 'ownedTargets'> {
  const countState = (state: KnownTarget['state']): number => (
    targets.filter((target) => target.state === state).length
  );
  return {
    targets: {
      cold: countState('cold'), ready: countState('ready'), draining: countState('draining'),
    },
    ownedTargets: targets.filter((target) => target.owner === owner).length,
  };
}
