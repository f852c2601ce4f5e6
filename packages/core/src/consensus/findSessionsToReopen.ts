import timing from './timing';

/** The new sessions that were opened with a VM since it was last heard. */
interface Reopening {
  readonly count: number;
  /** When the last one was opened, in milliseconds. */
  readonly atMs: number;
}

/** What a member of the control group knows of its contact with the others. */
interface GroupContact {
  readonly nowMs: number;
  readonly isLeader: boolean;
  /** Time since this member last led or heard the leader, in milliseconds. */
  readonly leaderSilenceMs: number;
  /** VMs of members that do not respond to this one, if it leads. */
  readonly silentNames: readonly string[];
  /** Number of open sessions by control VM. */
  readonly sessions: ReadonlyMap<string, number>;
  /** New sessions that were opened for silence, by control VM. */
  readonly reopenings: ReadonlyMap<string, Reopening>;
}

function isPauseOver(reopening: Reopening | undefined, nowMs: number): boolean {
  if (reopening === undefined) return true;
  const pauseMs = timing.reopenMinPauseMs * 2 ** (reopening.count - 1);
  return nowMs - reopening.atMs >= Math.min(pauseMs, timing.reopenMaxPauseMs);
}

/**
 * Finds the control VMs to open a new session with, because nothing is heard over an open one. The
 * other end may be of a build that loses its record of an open session.
 *
 * @param contact - contact with the other members
 * @returns the names of those VMs
 */
export default function findSessionsToReopen(contact: GroupContact): string[] {
  const {
    nowMs, isLeader, leaderSilenceMs, silentNames, sessions, reopenings,
  } = contact;
  // A member without a leader does not know which VM leads.
  const unheard = leaderSilenceMs < timing.lostVoterMs ? [] : [...sessions.keys()];
  return (isLeader ? silentNames : unheard)
    .filter((name) => (sessions.get(name) ?? 0) > 0 && isPauseOver(reopenings.get(name), nowMs));
}
