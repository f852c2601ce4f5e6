/** What a target told about itself in its latest answer. */
interface ReportedLoad {
  /** Requests that the target had, from all entries. */
  readonly inFlight: number;
  /** Requests that this entry had in flight to it when the answer came. */
  readonly ownInFlight: number;
  /** Moment on the monotonic clock at which the answer came, in milliseconds. */
  readonly atMs: number;
}

export default ReportedLoad;
