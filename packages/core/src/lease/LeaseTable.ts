import type Lease from './Lease';
import type LeaseHolder from './LeaseHolder';
import type TableChange from './TableChange';

/** The leader's table of leases, by start id. It is the membership of entries. */
interface LeaseTable<Holder extends LeaseHolder> {
  readonly term: number;
  /** From when on no lease of an earlier leader can be valid, in milliseconds. */
  readonly completeAtMs: number;
  isComplete: boolean;
  /** How often the set of entries has changed in this term. */
  count: number;
  readonly leases: Map<string, Lease<Holder>>;
  /** The latest changes, oldest first, without a gap. */
  changes: TableChange[];
}

export default LeaseTable;
