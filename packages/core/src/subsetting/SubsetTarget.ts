/** What decides how the connections of a target are shared. */
interface SubsetTarget {
  readonly id: string;
  readonly slots: number;
  /** Connections that the target bears, over all entries. */
  readonly connectionLimit: number;
}

export default SubsetTarget;
