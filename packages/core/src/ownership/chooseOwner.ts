import chooseMember from './chooseMember';
import type Member from './Member';
import type OwnedTarget from './OwnedTarget';

/**
 * Chooses the owner of a target: an entry in its data centre, or else in its region, so that no
 * target is measured from another region.
 *
 * @param target - the target
 * @param members - the entries
 * @returns name of the owner, or undefined if the region has no entry
 */
export default function chooseOwner(
  target: OwnedTarget,
  members: readonly Member[],
): string | undefined {
  const near = members.filter((member) => member.dataCentre === target.dataCentre);
  const eligible = near.length > 0
    ? near
    : members.filter((member) => member.region === target.region);
  return chooseMember(target.id, eligible)?.name;
}
