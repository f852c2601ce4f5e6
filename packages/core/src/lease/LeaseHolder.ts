/** What the table of leases needs to know of an entry. */
interface LeaseHolder {
  readonly name: string;
  /** New for each start of its process. */
  readonly startId: string;
}

export default LeaseHolder;
