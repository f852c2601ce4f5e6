import relayLimits from '@guavayard/core/relay/relayLimits';
import type Clock from '@guavayard/core/types/Clock';

import type VmLocation from '../registry/VmLocation';
import type SessionHandler from '../session/SessionHandler';
import PeerTable from '../session/PeerTable';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';

/** Interval at which unused sessions are looked for while there are any, in milliseconds. */
const CHECK_INTERVAL_MS = 2000;

interface OpenedSession {
  readonly address: string;
  usedAtMs: number;
}

/** Sessions with other entries, opened on demand and closed when nothing has used them for long. */
export default class PeerSessions implements SessionHandler {
  private readonly open = new PeerTable();

  /** Sessions that this entry maintains, by name of the peer. */
  private readonly opened = new Map<string, OpenedSession>();

  private readonly waiters = new Map<string, Set<(session: VmSession) => void>>();

  private checkTimer: NodeJS.Timeout | undefined;

  constructor(private readonly hub: VmHub, private readonly clock: Clock) {}

  /**
   * @param name - name of an entry
   * @returns the newest open session with it; undefined if there is none
   */
  find(name: string): VmSession | undefined {
    return this.open.find(name);
  }

  /**
   * Uses the session with an entry, and opens it if there is none.
   *
   * @param peer - the entry
   * @param onOpen - called with the session, now or once it is open; not called if it never opens
   * @returns a function that stops waiting for the session
   */
  use(peer: VmLocation, onOpen: (session: VmSession) => void): () => void {
    const opened = this.opened.get(peer.name);
    if (opened !== undefined) opened.usedAtMs = this.clock();
    const session = this.open.find(peer.name);
    if (session !== undefined) {
      onOpen(session);
      return () => undefined;
    }
    const waiters = this.waiters.get(peer.name) ?? new Set();
    this.waiters.set(peer.name, waiters.add(onOpen));
    if (opened === undefined) {
      this.opened.set(peer.name, { address: peer.address, usedAtMs: this.clock() });
      this.hub.connect(peer.address);
      this.checkTimer ??= setInterval(() => this.closeUnused(), CHECK_INTERVAL_MS);
    }
    return () => waiters.delete(onOpen);
  }

  /** Stops looking for unused sessions. */
  close(): void {
    clearInterval(this.checkTimer);
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (!peer.roles.includes('entry')) return;
    this.open.add(session, peer);
    const waiters = this.waiters.get(peer.name);
    this.waiters.delete(peer.name);
    waiters?.forEach((run) => run(session));
  }

  onMessage(session: VmSession): void {
    const opened = this.opened.get(session.peer?.name ?? '');
    if (opened !== undefined) opened.usedAtMs = this.clock();
  }

  onClose(session: VmSession): void {
    this.open.remove(session);
  }

  private closeUnused(): void {
    const since = this.clock() - relayLimits.idleSessionMs;
    this.opened.forEach(({ address, usedAtMs }, name) => {
      if (usedAtMs >= since) return;
      this.opened.delete(name);
      this.waiters.delete(name);
      this.hub.disconnect(address);
    });
    if (this.opened.size > 0) return;
    clearInterval(this.checkTimer);
    this.checkTimer = undefined;
  }
}
