/** Faults that a correct store prevents, injected to show that the model detects their effects. */
interface ModelOptions {
  /** Whether the disk loses the term and the vote. */
  readonly losesVotes?: boolean;
}

export default ModelOptions;
