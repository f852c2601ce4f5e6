/** Load that a target reported in its latest response. */
interface ReportedLoad {
  /** Requests that the target had, from all entries. */
  readonly inFlight: number;
  /** Requests that this entry had in flight to it when the response arrived. */
  readonly ownInFlight: number;
  /** Time of arrival of the response on the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

export default ReportedLoad;
