interface Wait {
  readonly version: number;
  readonly resolve: () => void;
}

/**
 * Keeps track of declarations that are not applied yet: each version is proposed once at a time,
 * however often it is sent, and all calls for it end once it is applied.
 */
export default class DeclarationGate {
  private readonly proposals = new Map<number, Promise<boolean>>();

  private readonly waits = new Set<Wait>();

  /**
   * Proposes a version, unless a proposal of it is pending.
   *
   * @param version - version of the declaration
   * @param propose - proposes it; returns whether it was committed and applied
   * @returns whether it was committed and applied
   */
  async propose(version: number, propose: () => Promise<boolean>): Promise<boolean> {
    const pending = this.proposals.get(version);
    if (pending !== undefined) return pending;
    const proposal = propose().finally(() => this.proposals.delete(version));
    this.proposals.set(version, proposal);
    return proposal;
  }

  /**
   * Waits for a call or until a version is applied, whoever has proposed it.
   *
   * @param version - version of the declaration
   * @param call - the call that submits it
   * @returns the result of the call, undefined if the version was applied before that
   */
  async awaitApplied<Result>(version: number, call: Promise<Result>): Promise<Result | undefined> {
    let wait: Wait | undefined;
    const applied = new Promise<undefined>((resolve) => {
      wait = { version, resolve: () => resolve(undefined) };
      this.waits.add(wait);
    });
    try {
      return await Promise.race([call, applied]);
    } finally {
      if (wait !== undefined) this.waits.delete(wait);
    }
  }

  /** Ends the calls that wait for a version up to this one. */
  handleApplied(version: number): void {
    [...this.waits].filter((wait) => wait.version <= version).forEach((wait) => wait.resolve());
  }
}
