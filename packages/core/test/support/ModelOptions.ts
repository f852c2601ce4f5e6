/** Faults that a correct store rules out, to show that the model finds what they do. */
interface ModelOptions {
  /** The disk forgets the term and the vote. */
  readonly losesVotes?: boolean;
}

export default ModelOptions;
