/** Properties of a target that determine how its connections are shared. */
interface SubsetTarget {
  readonly id: string;
  readonly slots: number;
  /** Maximum number of connections to the target from all entries together. */
  readonly connectionLimit: number;
}

export default SubsetTarget;
