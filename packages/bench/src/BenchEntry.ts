import BenchExchange from './BenchExchange';
import type BenchEntryLocation from './BenchEntryLocation';
import type BenchRequest from './BenchRequest';
import type EntryPolicy from './EntryPolicy';
import type FakeTarget from './FakeTarget';
import type Fleet from './Fleet';
import type Measurements from './Measurements';
import UsualDurations from './UsualDurations';

/** Simulated entry VM: handles requests with the scheduler of a policy. */
export default class BenchEntry {
  /** Called on every dispatch to a target. */
  onDispatch: ((target: FakeTarget) => void) | undefined;

  /** Relays a request to the entry with the given name. */
  relay: ((entryName: string, req: BenchRequest) => void) | undefined;

  private readonly hedging = new UsualDurations();

  constructor(
    readonly location: BenchEntryLocation,
    readonly policy: EntryPolicy,
    private readonly fleet: Fleet,
    private readonly measurements: Measurements,
  ) {}

  /**
   * Starts handling a request.
   *
   * @param req - the request, on its arrival or relayed by another entry
   * @returns the exchange that tracks the request until it ends
   */
  take(req: BenchRequest): BenchExchange {
    return new BenchExchange(this, this.fleet, this.hedging, this.measurements, req);
  }
}
