import type ConsensusState from './ConsensusState';

/**
 * Counts the voters whose copy of the log this leader knows. A voter of the first start counts only
 * once its process has run, as it has no identity on its disk before.
 *
 * @param state - the leader
 * @returns the number of voters, this replica included
 */
export default function countConfirmedVoters({ members, progress, self }: ConsensusState): number {
  return members.voters.filter((voter) => (
    voter === self || (progress.get(voter)?.matchIndex ?? 0) > 0)).length;
}
