import type BenchEntry from '../BenchEntry';
import type Fault from '../Fault';
import type Fleet from '../Fleet';

const OUT_AT_MS = 500;
const BACK_AT_MS = 5500;
/** The patch reaches each entry within this time. */
const MAX_DELAY_MS = 3000;
/** No work may be dispatched there this long after it was taken out. */
const LIMIT_MS = 4000;
const FIRST_SECOND_MS = 1000;

/** Operators take a data centre out and bring it back. */
export default class DataCentreOut implements Fault {
  readonly name = 'data centre out and back';

  /** Dispatches to the data centre when it should get none. */
  late = 0;

  /** Dispatches to it in a second before it was taken out, and in the first after its return. */
  readonly perSecond = { before: 0, afterReturn: 0 };

  start(fleet: Fleet, entries: readonly BenchEntry[]): void {
    const { clock, places } = fleet;
    const dataCentre = places[0]?.dataCentre ?? '';
    const random = fleet.createRandom(9000);
    places.forEach((place) => {
      clock.after(OUT_AT_MS + random() * MAX_DELAY_MS, () => {
        fleet.setDataCentre(place, dataCentre, 'out');
      });
      clock.after(BACK_AT_MS, () => fleet.setDataCentre(place, dataCentre, 'in'));
    });
    entries.forEach((entry) => Object.assign(entry, {
      onDispatch: (target: { known: { dataCentre: string } }) => {
        if (target.known.dataCentre === dataCentre) this.count(clock.nowMs);
      },
    }));
  }

  private count(nowMs: number): void {
    if (nowMs < OUT_AT_MS) this.perSecond.before += FIRST_SECOND_MS / OUT_AT_MS;
    if (nowMs > OUT_AT_MS + LIMIT_MS && nowMs < BACK_AT_MS) this.late += 1;
    const isFirstSecond = nowMs >= BACK_AT_MS && nowMs < BACK_AT_MS + FIRST_SECOND_MS;
    if (isFirstSecond) this.perSecond.afterReturn += 1;
  }
}
