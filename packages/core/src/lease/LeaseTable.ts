import type Lease from './Lease';
import type LeaseHolder from './LeaseHolder';
import type TableChange from './TableChange';

/** Leases granted by the leader. The holders make up the membership of entries. */
interface LeaseTable<Holder extends LeaseHolder> {
  readonly term: number;
  /** When the last lease granted by an earlier leader has expired, in milliseconds. */
  readonly completeAtMs: number;
  isComplete: boolean;
  /** Number of changes of the set of entries in this term. */
  count: number;
  /** Leases by the start id of their holder. */
  readonly leases: Map<string, Lease<Holder>>;
  /** The most recent changes, oldest first, without gaps. */
  changes: TableChange[];
}

export default LeaseTable;
