import type Fault from '../Fault';
import type FakeTarget from '../FakeTarget';
import type Fleet from '../Fleet';

const RESTART_AT_MS = 500;
/** One of this many targets restarts. */
const RESTART_EVERY_NTH = 6;

/** Restarts targets without notice. They come back cold, owned by an entry of their data centre. */
export default class ColdRestart implements Fault {
  readonly name = 'cold restart';

  private restarted: FakeTarget[] = [];

  start(fleet: Fleet): void {
    fleet.clock.after(RESTART_AT_MS, () => {
      this.restarted = fleet.targets.filter((_target, index) => index % RESTART_EVERY_NTH === 0);
      this.restarted.forEach((target) => {
        const owner = fleet.locations
          .find((location) => location.dataCentre === target.known.dataCentre)?.name;
        target.restart('start-1');
        fleet.announce(target.known.id, { owner });
      });
    });
  }

  /** @returns the largest number of requests by which a cold target exceeded its limit */
  get maxColdExcess(): number {
    return Math.max(...this.restarted.map((target) => target.maxColdExcess));
  }

  /** @returns how many targets restarted, and how many of them are warm again */
  get progress(): { readonly restarted: number; readonly warm: number } {
    const warm = this.restarted.filter((target) => target.known.state === 'ready').length;
    return { restarted: this.restarted.length, warm };
  }
}
