import type RequestRecord from './RequestRecord';

/** Receives finished requests for objectives, metrics and logs. */
interface RequestRecorder {
  /**
   * Records a finished request. Called exactly once per request, when its response is closed.
   *
   * @param record - data about the request
   * @param status - HTTP status of the response
   * @param isComplete - whether the complete response was written to the connection
   */
  record: (record: RequestRecord, status: number, isComplete: boolean) => void;
}

export default RequestRecorder;
