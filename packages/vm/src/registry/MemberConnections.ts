import type ConsensusTask from '../control/ConsensusTask';
import type VmHub from '../session/VmHub';
import type VmIdentity from '../session/VmIdentity';

interface MemberConnectionsOptions {
  readonly consensus: Pick<ConsensusTask, 'isJoinDue' | 'isLeader' | 'learnerNames' | 'voterNames'>;
  readonly hub: Pick<VmHub, 'connect' | 'disconnect' | 'reopen'>;
  readonly identity: VmIdentity;
  /** Addresses at which the other control VMs are first contacted. */
  readonly seeds: readonly string[];
}

/** Maintains the sessions of a control VM with the other members of its group. */
export default class MemberConnections {
  private readonly connectedAddresses = new Set<string>();

  /** Members that this VM connects to whatever the order of names, as nothing was heard of them. */
  private readonly dialledNames = new Set<string>();

  constructor(private readonly options: MemberConnectionsOptions) {}

  /**
   * Opens a new session with a control VM.
   *
   * @param name - name of the VM
   */
  reopen(name: string): void {
    const address = this.addressOf(name);
    this.dialledNames.add(name);
    this.connectedAddresses.add(address);
    this.options.hub.reopen(address);
  }

  /**
   * Connects to the members of the group, and disconnects from VMs that are no longer members.
   */
  update(): void {
    const {
      hub, identity, seeds, consensus,
    } = this.options;
    const {
      voterNames, learnerNames, isLeader, isJoinDue,
    } = consensus;
    const members = [...voterNames, ...learnerNames];
    // The others may not know this VM as a member, so they need not connect to it.
    if (isJoinDue) members.forEach((name) => this.dialledNames.add(name));
    const wanted = new Set(members
      // Of each pair, the member whose name sorts first connects. The leader connects to all, as
      // some members may not know the current membership yet.
      .filter((name) => isLeader || name > identity.name || this.dialledNames.has(name))
      .map((name) => this.addressOf(name)));
    if (isJoinDue || members.length < seeds.length) seeds.forEach((seed) => wanted.add(seed));
    wanted.delete(identity.address);
    [...this.connectedAddresses].filter((address) => !wanted.has(address)).forEach((address) => {
      hub.disconnect(address);
      this.connectedAddresses.delete(address);
    });
    wanted.forEach((address) => {
      hub.connect(address);
      this.connectedAddresses.add(address);
    });
  }

  /** Derives the address of a VM of such a system from its name, which is its IP address. */
  private addressOf(name: string): string {
    const { address } = this.options.identity;
    return `${name}${address.slice(address.lastIndexOf(':'))}`;
  }
}
