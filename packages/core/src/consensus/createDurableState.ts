import createConfigurationSnapshot from '../configuration/createConfigurationSnapshot';
import type DurableState from './DurableState';
import type ReplicaId from './ReplicaId';

/**
 * Creates the initial durable state of a new data folder.
 *
 * @param voters - the initial voters of a new group; empty for a replica that will join a group
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
