import type RequestRecord from './RequestRecord';

/** Receiver of finished requests, for objectives, metrics and logs. */
interface RequestRecorder {
  /**
   * Counts a request. Called once for each request, when its response is closed.
   *
   * @param record - the request
   * @param status - HTTP status of the answer
   * @param isComplete - whether the whole answer was handed to the connection
   */
  record: (record: RequestRecord, status: number, isComplete: boolean) => void;
}

export default RequestRecorder;
