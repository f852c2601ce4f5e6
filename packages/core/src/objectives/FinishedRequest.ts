import type RequestRecord from './RequestRecord';

/** A request whose response is closed. */
interface FinishedRequest {
  readonly record: RequestRecord;
  /** HTTP status of the answer. */
  readonly status: number;
  /** Whether the whole answer was handed to the connection. */
  readonly isComplete: boolean;
  /** From arrival to the close of the response, in milliseconds. */
  readonly latencyMs: number;
}

export default FinishedRequest;
