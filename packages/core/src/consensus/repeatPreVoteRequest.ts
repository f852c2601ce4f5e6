import type ConsensusState from './ConsensusState';
import findLastIndex from './findLastIndex';
import findTerm from './findTerm';
import send from './send';
import vmNameOf from './vmNameOf';

/**
 * Sends the present pre-vote request to a VM to which a session has just been opened. After a start
 * of all replicas, the first to stand asks those that it has sessions with; the vote that completes
 * the quorum is often that of a replica that starts later.
 *
 * @param state - the replica
 * @param vmName - name of the VM
 */
export default function repeatPreVoteRequest(state: ConsensusState, vmName: string): void {
  if (state.role !== 'preCandidate') return;
  const lastIndex = findLastIndex(state);
  const lastTerm = findTerm(state, lastIndex) ?? 0;
  state.members.voters
    .filter((voter) => vmNameOf(voter) === vmName && !state.votes.has(voter))
    .forEach((voter) => send(state, voter, {
      kind: 'preVoteRequest', term: state.term + 1, lastIndex, lastTerm,
    }));
}
