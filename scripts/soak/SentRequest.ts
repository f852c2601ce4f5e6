/** A request that a caller sent, with its result. */
interface SentRequest {
  readonly kind: 'read' | 'keyed' | 'plain';
  readonly requestId: string;
  readonly key: string | undefined;
  /** HTTP status, undefined if the connection failed. */
  readonly status: number | undefined;
  /** Value of the `guavayard-outcome` header of the response. */
  readonly outcome: string | undefined;
  /** Whether the body belongs to this request; true for every response other than a 200. */
  readonly hasExpectedBody: boolean;
  readonly latencyMs: number;
}

export default SentRequest;
