/** Change of the set of entries in the lease table. */
interface TableChange {
  /** Number of changes of the table in this term, including this one. */
  readonly count: number;
  /** Start ids of the entries that joined. */
  readonly joined: readonly string[];
  /** Start ids of the entries that left. */
  readonly left: readonly string[];
}

export default TableChange;
