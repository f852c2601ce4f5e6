import type Fault from '../Fault';
import type FakeTarget from '../FakeTarget';
import type Fleet from '../Fleet';

const AT_MS = 500;
/** Every so many targets restart. */
const EVERY = 6;

/** Targets restart without warning and are cold; an entry of their data centre owns them. */
export default class ColdRestart implements Fault {
  readonly name = 'cold restart';

  private restarted: FakeTarget[] = [];

  start(fleet: Fleet): void {
    fleet.clock.after(AT_MS, () => {
      this.restarted = fleet.targets.filter((_target, index) => index % EVERY === 0);
      this.restarted.forEach((target) => {
        const owner = fleet.places
          .find((place) => place.dataCentre === target.known.dataCentre)?.name;
        target.restart('start-1');
        fleet.announce(target.known.id, { owner });
      });
    });
  }

  /** @returns most requests that a cold target had above what it could bear */
  get overBearing(): number {
    return Math.max(...this.restarted.map((target) => target.overBearing));
  }

  /** @returns targets that restarted, and those of them that are in full use again */
  get progress(): { readonly restarted: number; readonly warm: number } {
    const warm = this.restarted.filter((target) => target.known.state === 'ready').length;
    return { restarted: this.restarted.length, warm };
  }
}
