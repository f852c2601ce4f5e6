/** One change of the set of entries. */
interface TableChange {
  /** Count of changes that this one brought the table to. */
  readonly count: number;
  /** Start ids of the entries that joined or left. */
  readonly joined: readonly string[];
  readonly left: readonly string[];
}

export default TableChange;
