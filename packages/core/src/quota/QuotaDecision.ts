/** What an entry decides on a request of a tenant. */
type QuotaDecision = | { readonly isAdmitted: true }
  | {
    readonly isAdmitted: false;
    /** Delay after which the tenant has credit again, in milliseconds. */
    readonly retryAfterMs: number;
    /** Reason of the decision, for logs. */
    readonly basis: string;
  };

export default QuotaDecision;
