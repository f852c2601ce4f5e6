/** Place of an entry among all entries. */
interface EntryPlace {
  /** Index of its name among the sorted names of all entries. */
  readonly index: number;
  readonly count: number;
}

export default EntryPlace;
