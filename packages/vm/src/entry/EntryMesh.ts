import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';

/** Maintains one session with each other entry of the system. */
export default class EntryMesh {
  private peers: readonly VmIdentity[] = [];

  constructor(private readonly hub: VmHub, private readonly identity: VmIdentity) {}

  /**
   * Connects to entries that joined and disconnects from those that left.
   *
   * @param entries - all current entries of the system
   */
  update(entries: readonly VmIdentity[]): void {
    // Of each pair, the entry whose name sorts first connects.
    const peers = entries.filter((entry) => entry.name > this.identity.name);
    const addresses = new Set(peers.map((peer) => peer.address));
    this.peers
      .filter((peer) => !addresses.has(peer.address))
      .forEach((peer) => this.hub.disconnect(peer.address));
    peers.forEach((peer) => this.hub.connect(peer.address));
    this.peers = peers;
  }
}
