import createConfigurationSnapshot from '../configuration/createConfigurationSnapshot';
import type DurableState from './DurableState';
import type ReplicaId from './ReplicaId';

/**
 * Makes the state of a new data folder.
 *
 * @param voters - the replica itself if it starts a new group, nobody if it will join one
 * @returns the state, with an empty configuration
 */
export default function createDurableState(voters: readonly ReplicaId[]): DurableState {
  return {
    term: 0,
    votedFor: undefined,
    log: [],
    snapshot: {
      lastIndex: 0,
      lastTerm: 0,
      members: { voters: [...voters], learners: [] },
      data: createConfigurationSnapshot(),
    },
  };
}
