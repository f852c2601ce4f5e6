/** One request that a caller sent, and what came of it. */
interface SentRequest {
  readonly kind: 'read' | 'keyed' | 'plain';
  readonly requestId: string;
  readonly key: string | undefined;
  /** HTTP status, undefined if the connection failed. */
  readonly status: number | undefined;
  /** Value of the `guavayard-outcome` header of the answer. */
  readonly outcome: string | undefined;
  /** Whether the body of a good answer was the one that belongs to this request. */
  readonly isOwnAnswer: boolean;
  readonly latencyMs: number;
}

export default SentRequest;
