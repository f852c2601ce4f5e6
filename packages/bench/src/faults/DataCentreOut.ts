import type BenchEntry from '../BenchEntry';
import type Fault from '../Fault';
import type Fleet from '../Fleet';

const OUT_AT_MS = 500;
const BACK_AT_MS = 5500;
/** The patch reaches every entry within this time. */
const MAX_PROPAGATION_MS = 3000;
/** Time after the patch from which no request may be dispatched to the data centre. */
const ENFORCEMENT_LIMIT_MS = 4000;
const ONE_SECOND_MS = 1000;

/** Takes a data centre out of service and brings it back, as an operator does. */
export default class DataCentreOut implements Fault {
  readonly name = 'data centre out and back';

  /** Dispatches to the data centre after the enforcement limit. */
  late = 0;

  /** Dispatches per second before the data centre goes out, and in the second after its return. */
  readonly dispatchesPerSecond = { before: 0, afterReturn: 0 };

  start(fleet: Fleet, entries: readonly BenchEntry[]): void {
    const { clock, locations } = fleet;
    const dataCentre = locations[0]?.dataCentre ?? '';
    const random = fleet.createRandom(9000);
    locations.forEach((location) => {
      clock.after(OUT_AT_MS + random() * MAX_PROPAGATION_MS, () => {
        fleet.setDataCentre(location, dataCentre, 'out');
      });
      clock.after(BACK_AT_MS, () => fleet.setDataCentre(location, dataCentre, 'in'));
    });
    entries.forEach((entry) => Object.assign(entry, {
      onDispatch: (target: { known: { dataCentre: string } }) => {
        if (target.known.dataCentre === dataCentre) this.count(clock.nowMs);
      },
    }));
  }

  private count(nowMs: number): void {
    if (nowMs < OUT_AT_MS) this.dispatchesPerSecond.before += ONE_SECOND_MS / OUT_AT_MS;
    if (nowMs > OUT_AT_MS + ENFORCEMENT_LIMIT_MS && nowMs < BACK_AT_MS) this.late += 1;
    const isFirstSecond = nowMs >= BACK_AT_MS && nowMs < BACK_AT_MS + ONE_SECOND_MS;
    if (isFirstSecond) this.dispatchesPerSecond.afterReturn += 1;
  }
}
