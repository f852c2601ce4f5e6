import HedgePolicy from '@guavayard/core/retries/HedgePolicy';

import BenchExchange from './BenchExchange';
import type BenchEntryPlace from './BenchEntryPlace';
import type BenchRequest from './BenchRequest';
import type EntryPolicy from './EntryPolicy';
import type FakeTarget from './FakeTarget';
import type Fleet from './Fleet';
import type Measurements from './Measurements';

/** One entry: it runs the exchanges of its requests over a policy. */
export default class BenchEntry {
  /** Told of every dispatch. */
  onDispatch: ((target: FakeTarget) => void) | undefined;

  /** Hands a request to the entry of a name. */
  relay: ((entryName: string, req: BenchRequest) => void) | undefined;

  private readonly hedging = new HedgePolicy();

  constructor(
    readonly place: BenchEntryPlace,
    readonly policy: EntryPolicy,
    private readonly fleet: Fleet,
    private readonly measurements: Measurements,
  ) {}

  /**
   * Takes a request.
   *
   * @param req - the request
   */
  take(req: BenchRequest): BenchExchange {
    return new BenchExchange(this, this.fleet, this.hedging, this.measurements, req);
  }
}
