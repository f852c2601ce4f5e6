interface Proposal {
  readonly token: number;
  readonly index: number;
  readonly term: number;
}

/** Proposals and reads that wait for their replica. */
export default class PendingCalls {
  private readonly waiting = new Map<number, (isDone: boolean) => void>();

  private proposals: Proposal[] = [];

  private lastToken = 0;

  /**
   * @param begin - hands the token of the new call to the replica
   * @returns what `finish` is given for the call
   */
  async create(begin: (token: number) => void): Promise<boolean> {
    this.lastToken += 1;
    const token = this.lastToken;
    return new Promise((resolve) => {
      this.waiting.set(token, resolve);
      begin(token);
    });
  }

  /** Notes where the command of a call stands in the log. */
  propose(token: number, index: number, term: number): void {
    this.proposals.push({ token, index, term });
  }

  /** Finishes the proposal at a committed index; it failed if another term's entry is there. */
  commit(index: number, term: number): void {
    this.proposals
      .filter((proposal) => proposal.index === index)
      .forEach((proposal) => this.finish(proposal.token, proposal.term === term));
    this.proposals = this.proposals.filter((proposal) => proposal.index !== index);
  }

  finish(token: number, isDone: boolean): void {
    this.waiting.get(token)?.(isDone);
    this.waiting.delete(token);
  }

  /** Gives up all proposals: whether they commit is up to another leader. */
  abandon(): void {
    this.proposals.splice(0).forEach(({ token }) => this.finish(token, false));
  }
}
