import type RequestOutcome from './RequestOutcome';

/** What a caller is told about one kind of error. */
interface ErrorAnswer {
  /** Stable number of the error, sent in the `guavayard-error` header. */
  readonly code: number;
  /** HTTP status of the answer. */
  readonly status: number;
  /** What is known about whether the request ran on a target. */
  readonly outcome: RequestOutcome;
  /** Whether sending the same request again is safe and may succeed. */
  readonly retryable: boolean;
  /** Text for people. */
  readonly text: string;
}

export default ErrorAnswer;
