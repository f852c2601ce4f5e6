import type RequestRecord from './RequestRecord';

/** Request whose response has been closed. */
interface FinishedRequest {
  readonly record: RequestRecord;
  /** HTTP status of the response. */
  readonly status: number;
  /** Whether the complete response was written to the connection. */
  readonly isComplete: boolean;
  /** Time from arrival to the close of the response, in milliseconds. */
  readonly latencyMs: number;
}

export default FinishedRequest;
