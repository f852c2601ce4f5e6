import type VmHub from '../session/VmHub';

/** Addresses of control VMs to which an entry maintains sessions. */
export default class ControlConnections {
  private readonly addresses = new Set<string>();

  constructor(private readonly hub: Pick<VmHub, 'connect' | 'disconnect'>) {}

  /** Maintains a session to an address until `disconnect`. */
  connect(address: string): void {
    if (this.addresses.has(address)) return;
    this.addresses.add(address);
    this.hub.connect(address);
  }

  /** Ends the session to an address. */
  disconnect(address: string): void {
    this.addresses.delete(address);
    this.hub.disconnect(address);
  }

  /**
   * Ends all sessions but one.
   *
   * @param kept - address of the session that is kept, undefined for none
   */
  disconnectOthers(kept: string | undefined): void {
    [...this.addresses].filter((address) => address !== kept)
      .forEach((address) => this.disconnect(address));
  }
}
