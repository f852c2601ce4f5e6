import protocolVersion from '@guavayard/vm/session/protocolVersion';
import type VmHub from '@guavayard/vm/session/VmHub';

/**
 * Decides whether the variant may write records of its version into the log.
 *
 * @param hub - sessions with the other VMs
 * @param ownName - name of this VM
 * @param memberNames - names of all members of the group
 * @param requiredVoters - number of voters of a complete group
 * @returns true if the group is complete and each member tells the variant's version
 */
export default function isAgreed(
  hub: VmHub,
  ownName: string,
  memberNames: readonly string[],
  requiredVoters: number,
): boolean {
  const others = memberNames.filter((name) => name !== ownName);
  return memberNames.length >= requiredVoters
    && others.every((name) => hub.protocolVersionOf(name) >= protocolVersion);
}
