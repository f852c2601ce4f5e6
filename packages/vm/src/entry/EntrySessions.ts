import type VmMessage from '../messages/VmMessage';
import PeerTable from '../session/PeerTable';
import type SessionHandler from '../session/SessionHandler';
import type VmIdentity from '../session/VmIdentity';
import type VmSession from '../session/VmSession';
import type EntryBroadcast from './EntryBroadcast';
import type EntrySessionListener from './EntrySessionListener';

/** The open sessions with other entries. */
export default class EntrySessions implements SessionHandler, EntryBroadcast {
  private readonly sessions = new PeerTable();

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
   * Sends a message to one entry.
   *
   * @param name - name of the entry
   * @param message - the message to send
   * @returns false if there is no session with the entry
   */
  send(name: string, message: VmMessage): boolean {
    const session = this.sessions.find(name);
    session?.send(message);
    return session !== undefined;
  }

  /**
   * Sends a message to every other entry.
   *
   * @param message - the message to send
   */
  broadcast(message: VmMessage): void {
    this.sessions.newest.forEach((session) => session.send(message));
  }

  broadcastInRegion(message: VmMessage): number {
    const regional = this.sessions.newest
      .filter((session) => session.peer?.region === this.self.region);
    regional.forEach((session) => session.send(message));
    return regional.length;
  }

  onOpen(session: VmSession, peer: VmIdentity): void {
    if (!peer.roles.includes('entry') || peer.name === this.self.name) return;
    this.sessions.add(session, peer);
    this.listeners.forEach((listener) => listener.onEntryOpen(peer));
  }

  onMessage(session: VmSession, message: VmMessage): void {
    const { peer } = session;
    if (peer === undefined || this.sessions.find(peer.name) === undefined) return;
    this.listeners.forEach((listener) => listener.onEntryMessage(peer, message));
  }

  onClose(session: VmSession): void {
    const { peer } = session;
    const carrier = this.sessions.find(peer?.name ?? '');
    if (peer === undefined || carrier === undefined) return;
    if (this.sessions.remove(session)) {
      this.listeners.forEach((listener) => listener.onEntryClose(peer));
      return;
    }
    if (carrier !== session) return;
    // What was sent over it last may not have arrived.
    this.listeners.forEach((listener) => listener.onEntryOpen(peer));
  }
}
