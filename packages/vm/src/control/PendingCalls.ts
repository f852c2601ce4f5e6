interface Proposal {
  readonly token: number;
  readonly index: number;
  readonly term: number;
}

/** Proposals and reads that wait for a result of the replica. */
export default class PendingCalls {
  private readonly resolvers = new Map<number, (isDone: boolean) => void>();

  private proposals: Proposal[] = [];

  private lastToken = 0;

  /**
   * Registers a call and waits for its result.
   *
   * @param start - passes the token of the new call to the replica
   * @returns the result that `finish` receives for the call
   */
  async create(start: (token: number) => void): Promise<boolean> {
    this.lastToken += 1;
    const token = this.lastToken;
    return new Promise((resolve) => {
      this.resolvers.set(token, resolve);
      start(token);
    });
  }

  /** Records the index and term of a proposed command in the log. */
  trackProposal(token: number, index: number, term: number): void {
    this.proposals.push({ token, index, term });
  }

  /** Settles the proposals at a committed index; those proposed in another term have failed. */
  handleCommit(index: number, term: number): void {
    this.proposals
      .filter((proposal) => proposal.index === index)
      .forEach((proposal) => this.finish(proposal.token, proposal.term === term));
    this.proposals = this.proposals.filter((proposal) => proposal.index !== index);
  }

  /** Settles a call with its result. */
  finish(token: number, isDone: boolean): void {
    this.resolvers.get(token)?.(isDone);
    this.resolvers.delete(token);
  }

  /** Fails all proposals: whether they commit depends on another leader. */
  failProposals(): void {
    this.proposals.splice(0).forEach(({ token }) => this.finish(token, false));
  }
}
