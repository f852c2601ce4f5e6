import type RequestOutcome from './RequestOutcome';

/** Definition of one kind of error, as reported to callers. */
interface ErrorDefinition {
  /** Stable number of the error, sent as `code` in the JSON body. */
  readonly code: number;
  /** HTTP status of the response. */
  readonly status: number;
  /** Whether the request ran on a target, as far as is known. */
  readonly outcome: RequestOutcome;
  /** Whether it is safe to resend the same request and a resend may succeed. */
  readonly retryable: boolean;
  /** Human-readable message. */
  readonly text: string;
}

export default ErrorDefinition;
