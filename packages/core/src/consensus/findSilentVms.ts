import type ConsensusState from './ConsensusState';
import findSilentMembers from './findSilentMembers';
import vmNameOf from './vmNameOf';

/**
 * Lists the VMs of which no member responds to this replica. A VM that has lost its disk responds
 * as a new member while its former one is still a voter.
 *
 * @param state - the replica
 * @returns the names of those VMs; none unless this replica leads
 */
export default function findSilentVms(state: ConsensusState): string[] {
  const { voters, learners } = state.members;
  const silent = findSilentMembers(state);
  const heard = new Set([...voters, ...learners]
    .filter((member) => !silent.includes(member)).map(vmNameOf));
  return [...new Set(silent.map(vmNameOf))].filter((name) => !heard.has(name));
}
