/** What an entry decides on a request of a tenant. */
type QuotaDecision = | { readonly isAdmitted: true }
  | {
    readonly isAdmitted: false;
    /** Delay after which the tenant has credit again, in milliseconds. */
    readonly retryAfterMs: number;
    /** What the decision rests on, for people. */
    readonly basis: string;
  };

export default QuotaDecision;
