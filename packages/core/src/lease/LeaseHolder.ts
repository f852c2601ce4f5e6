/** Identity of an entry in the lease table. */
interface LeaseHolder {
  readonly name: string;
  /** Unique to each start of the process of the entry. */
  readonly startId: string;
}

export default LeaseHolder;
