import type VmIdentity from './VmIdentity';
import type VmSession from './VmSession';

/** Processes of a peer that are remembered while a session with it is open. */
const MAX_STARTS = 16;

/**
 * The open sessions of a VM, by name of the peer. Two VMs may have several with each other, as both
 * may connect, and two processes of a peer may overlap while the former one drains. The newest
 * session with its newest process is used; when it closes, the next one takes its place.
 */
export default class PeerTable {
  /** Those with the newest process come last. */
  private readonly sessions = new Map<string, readonly VmSession[]>();

  /** Start ids of each peer, in the order in which they were first seen. */
  private readonly starts = new Map<string, readonly string[]>();

  /**
   * Adds a session that has opened.
   *
   * @param session - the session
   * @param peer - its peer
   * @returns true if it is the only session with this process of the peer
   */
  add(session: VmSession, { name, startId }: VmIdentity): boolean {
    const known = this.sessions.get(name) ?? [];
    const seen = this.starts.get(name) ?? [];
    // A former process that connects again stays behind the one that has followed it.
    const starts = seen.includes(startId) ? seen : [...seen, startId].slice(-MAX_STARTS);
    const rank = (one: VmSession): number => starts.indexOf(one.peer?.startId ?? '');
    this.starts.set(name, starts);
    this.sessions.set(name, [...known, session].sort((a, b) => rank(a) - rank(b)));
    return !known.some(({ peer }) => peer?.startId === startId);
  }

  /**
   * Removes a session that has closed.
   *
   * @param session - the session
   * @returns true if it was the last session with its peer; false if another one is open, or if the
   *   session never opened
   */
  remove(session: VmSession): boolean {
    const name = session.peer?.name ?? '';
    const known = this.sessions.get(name);
    if (known?.includes(session) !== true) return false;
    const remaining = known.filter((other) => other !== session);
    if (remaining.length > 0) {
      this.sessions.set(name, remaining);
      return false;
    }
    this.sessions.delete(name);
    this.starts.delete(name);
    return true;
  }

  /**
   * Lists the VMs of a role with an open session.
   *
   * @param role - role to look for
   * @returns their names
   */
  list(role: VmIdentity['roles'][number]): string[] {
    return [...this.sessions]
      .filter(([, sessions]) => sessions.at(-1)?.peer?.roles.includes(role))
      .map(([name]) => name);
  }

  /** Identities of all VMs with an open session. */
  get identities(): VmIdentity[] {
    return [...this.sessions.values()].flatMap((sessions) => sessions.at(-1)?.peer ?? []);
  }

  /**
   * Finds the session that messages to a VM are sent over.
   *
   * @param name - name of the VM
   * @returns the newest open session with its newest process, undefined if there is none
   */
  find(name: string): VmSession | undefined {
    return this.sessions.get(name)?.at(-1);
  }

  /** The session that messages to each VM are sent over. */
  get newest(): VmSession[] {
    return [...this.sessions.values()].flatMap((sessions) => sessions.at(-1) ?? []);
  }

  /**
   * @param name - name of a VM
   * @returns the number of open sessions with its newest process
   */
  count(name: string): number {
    const startId = this.find(name)?.peer?.startId;
    const sessions = this.sessions.get(name) ?? [];
    return sessions.filter(({ peer }) => peer?.startId === startId).length;
  }
}
