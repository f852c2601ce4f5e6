import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type EntryBroadcast from './EntryBroadcast';
import type EntrySessionListener from './EntrySessionListener';

/**
 * The open sessions with other entries, by entry name. VMs with both roles may have two sessions
 * with each other; messages are sent over the newest.
 */
export default class EntrySessions implements SessionHandler, EntryBroadcast {
  private readonly sessions = new Map<string, VmSession[]>();

  private readonly listeners: EntrySessionListener[] = [];

  constructor(private readonly self: VmIdentity) {}

  /**
   * Registers a listener for session events.
   *
   * @param listener - called for every event from then on
   */
  addListener(listener: EntrySessionListener): void {
    this.listeners.push(listener);
  }

  /**
   * Sends a message to one entry over its newest session.
   *
   * @param name - name of the entry
   * @param message - the message to send
   * @returns false if there is no session with the entry
   */
  send(name: string, message: VmMessage): boolean {
    const session = this.sessions.get(name)?.at(-1);
    session?.send(message);
    return session !== undefined;
  }

  /**
   * Sends a message to every other entry.
   *
   * @param message - the message to send
   */
  broadcast(message: VmMessage): void {
    this.sessions.forEach((_sessions, name) => this.send(name, message));
  }

  broadcastInRegion(message: VmMessage): number {
    const regional = [...this.sessions.values()]
      .flatMap((sessions) => sessions.at(-1) ?? [])
      .filter((session) => session.peer?.region === this.self.region);
    regional.forEach((session) => session.send(message));
    return regional.length;
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (!peer.roles.includes('entry') || peer.name === this.self.name) return;
    this.sessions.set(peer.name, [...this.sessions.get(peer.name) ?? [], session]);
    this.listeners.forEach((listener) => listener.onEntryOpen(peer));
  }

  onMessage(session: VmSession, message: VmMessage): void {
    const { peer } = session;
    if (peer === undefined || !this.sessions.has(peer.name)) return;
    this.listeners.forEach((listener) => listener.onEntryMessage(peer, message));
  }

  onClose(session: VmSession): void {
    const { peer } = session;
    const known = this.sessions.get(peer?.name ?? '');
    if (peer === undefined || !known?.includes(session)) return;
    const remaining = known.filter((other) => other !== session);
    if (remaining.length === 0) {
      this.sessions.delete(peer.name);
      this.listeners.forEach((listener) => listener.onEntryClose(peer));
      return;
    }
    this.sessions.set(peer.name, remaining);
    if (known.at(-1) !== session) return;
    this.listeners.forEach((listener) => listener.onEntryOpen(peer));
  }
}
