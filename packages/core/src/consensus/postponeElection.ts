import type ConsensusState from './ConsensusState';
import timing from './timing';

/**
 * Gives an election more time if the disk has just been slow, as those of the other voters may be:
 * they sync their votes before they respond, and the leader its first entry.
 *
 * @param state - a replica that has synced its term or vote
 * @param syncMs - duration of the write, in milliseconds
 */
export default function postponeElection(state: ConsensusState, syncMs: number): void {
  const othersMs = syncMs < timing.slowSyncMs ? 0 : Math.min(syncMs, timing.maxSyncMs);
  state.slowSyncMs = othersMs;
  if (othersMs === 0) return;
  const spreadMs = timing.electionMaxMs - timing.electionMinMs + othersMs;
  const delayMs = timing.electionMinMs + 2 * othersMs + state.random() * spreadMs;
  state.electionDeadlineMs = Math.max(state.electionDeadlineMs, state.nowMs + delayMs);
}
