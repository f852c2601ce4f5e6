/** Parts of the shipped policy that a variant leaves out. */
interface GuavayardVariant {
  readonly hedges?: boolean;
  readonly shares?: boolean;
}

export default GuavayardVariant;
