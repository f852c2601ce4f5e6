/** Features of the production policy that a variant may switch off; all are on by default. */
interface GuavayardVariant {
  readonly hedges?: boolean;
  readonly shares?: boolean;
}

export default GuavayardVariant;
