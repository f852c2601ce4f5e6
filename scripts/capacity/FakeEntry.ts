import { performance } from 'node:perf_hooks';

import ControlSubscription from '@guavayard/vm/entry/ControlSubscription';
import VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

/** The part of an entry that holds a lease, without targets or callers. */
export default class FakeEntry {
  private readonly hub: VmHub;

  private readonly subscription: ControlSubscription;

  /**
   * @param name - name of the entry
   * @param key - key shared by all VMs
   * @param address - address of a VM to keep a session with
   */
  constructor(name: string, key: string, address: string) {
    const identity: VmIdentity = {
      name,
      region: 'munster',
      dataCentre: 'munster-1',
      startId: name,
      roles: ['entry'],
      address: '127.0.0.1:1',
      callerAddress: '127.0.0.1:1',
    };
    this.hub = new VmHub(key, identity);
    this.subscription = new ControlSubscription({
      hub: this.hub,
      identity,
      clock: () => performance.now(),
      listener: { onConfiguration() {}, onMembership() {} },
    });
    this.hub.addHandler(this.subscription);
    this.hub.connect(address);
  }

  /** Version that the entry may dispatch under, undefined without a lease. */
  get version(): number | undefined {
    return this.subscription.latest?.version;
  }

  /** Ends the session. */
  close(): void {
    this.subscription.close();
    this.hub.close();
  }
}
