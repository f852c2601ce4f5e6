import { performance } from 'node:perf_hooks';

import ControlSubscription from '@guavayard/vm/entry/ControlSubscription';
import VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

/** An entry without targets or callers that only holds a lease. */
export default class FakeEntry {
  private readonly hub: VmHub;

  private readonly subscription: ControlSubscription;

  /**
   * @param name - name of the entry
   * @param key - key shared by all VMs
   * @param address - address of the VM to connect to
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

  /** Configuration version of the current lease; undefined without a lease. */
  get version(): number | undefined {
    return this.subscription.latest?.version;
  }

  /** Closes the session. */
  close(): void {
    this.subscription.close();
    this.hub.close();
  }
}
