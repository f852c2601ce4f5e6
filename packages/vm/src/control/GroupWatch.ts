import type Logger from 'bunyan';

import findSessionsToReopen from '@guavayard/core/consensus/findSessionsToReopen';
import timing from '@guavayard/core/consensus/timing';
import vmNameOf from '@guavayard/core/consensus/vmNameOf';
import type Clock from '@guavayard/core/types/Clock';

import type VmHub from '../session/VmHub';
import type ConsensusTask from './ConsensusTask';

interface GroupWatchOptions {
  readonly consensus: Pick<ConsensusTask, 'electionState' | 'isLeader' | 'silentMembers' | 'silentVms' | 'timeSinceLeaderContactMs'>;
  readonly hub: Pick<VmHub, 'controlSessions' | 'namesOf'>;
  readonly log: Pick<Logger, 'info' | 'warn'>;
  readonly clock: Clock;
  /** Opens a new session with a control VM. */
  readonly reopen: (name: string) => void;
}

/**
 * Watches which members of the control group do not hear each other: at the leader, those that do
 * not respond; at another member, that it hears no leader. It logs them and opens new sessions with
 * those that are connected.
 */
export default class GroupWatch {
  private silent: readonly string[] = [];

  /** When this replica last led or heard the leader. */
  private heardAtMs: number;

  private hasLeader = true;

  private readonly reopenings = new Map<string, { count: number; atMs: number }>();

  constructor(private readonly options: GroupWatchOptions) {
    this.heardAtMs = options.clock();
  }

  /** Number of members that do not respond to this replica; 0 unless it leads. */
  get silentMemberCount(): number {
    return this.silent.length;
  }

  /** Time since this replica last led or heard the leader, in milliseconds. */
  get leaderSilenceMs(): number {
    const { consensus, clock } = this.options;
    if (consensus.isLeader) return 0;
    // Before the first contact, the time since the start counts.
    return Math.min(consensus.timeSinceLeaderContactMs, clock() - this.heardAtMs);
  }

  /**
   * Logs what has changed since the last call, and opens the sessions that are due. Call it several
   * times a second.
   */
  tick(): void {
    this.checkMembers();
    this.checkLeader();
    this.reopenSessions();
  }

  private checkMembers(): void {
    const { consensus, log } = this.options;
    const silent = consensus.silentMembers;
    silent.filter((member) => !this.silent.includes(member)).forEach((member) => {
      log.warn({ member, ...this.describeSessions(member) }, 'member does not respond');
    });
    // A replica that no longer leads, or a group without the member, says nothing of it.
    if (consensus.isLeader) {
      this.silent.filter((member) => !silent.includes(member)).forEach((member) => {
        log.info({ member, ...this.describeSessions(member) }, 'member responds again or was removed');
      });
    }
    this.silent = silent;
  }

  private checkLeader(): void {
    const {
      clock, consensus, log, hub,
    } = this.options;
    const silenceMs = this.leaderSilenceMs;
    this.heardAtMs = Math.max(this.heardAtMs, clock() - silenceMs);
    const hasLeader = silenceMs < timing.lostVoterMs;
    if (hasLeader === this.hasLeader) return;
    this.hasLeader = hasLeader;
    if (hasLeader) log.info('leader heard again');
    else {
      log.warn({
        silenceMs: Math.round(silenceMs),
        sessions: Object.fromEntries(hub.controlSessions),
        reachable: hub.namesOf('control'),
        ...consensus.electionState,
      }, 'no leader heard');
    }
  }

  private reopenSessions(): void {
    const {
      consensus: { isLeader, silentVms: silentNames }, hub, clock, log, reopen,
    } = this.options;
    const nowMs = clock();
    const sessions = hub.controlSessions;
    this.forgetHeard(isLeader, silentNames);
    findSessionsToReopen({
      nowMs,
      isLeader,
      leaderSilenceMs: this.leaderSilenceMs,
      silentNames,
      sessions,
      reopenings: this.reopenings,
    }).forEach((peer) => {
      log.warn({ peer, sessions: sessions.get(peer) }, 'new session opened as nothing is heard');
      const count = (this.reopenings.get(peer)?.count ?? 0) + 1;
      this.reopenings.set(peer, { count, atMs: nowMs });
      reopen(peer);
    });
  }

  /** A member that hears the leader, and a leader that hears a member, start over. */
  private forgetHeard(isLeader: boolean, silentNames: readonly string[]): void {
    if (!isLeader && !this.hasLeader) return;
    [...this.reopenings.keys()].filter((name) => !isLeader || !silentNames.includes(name))
      .forEach((name) => this.reopenings.delete(name));
  }

  private describeSessions(member: string): { sessions: number; canSend: boolean } {
    const { hub } = this.options;
    const name = vmNameOf(member);
    return { sessions: hub.controlSessions.get(name) ?? 0, canSend: hub.namesOf('control').includes(name) };
  }
}
