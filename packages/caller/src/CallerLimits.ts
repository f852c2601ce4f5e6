/** Limits against callers that hold too much. */
interface CallerLimits {
  /** Longest header section of a request, in bytes. */
  readonly headerBytes: number;
  /** Longest time for the headers of a request to arrive. */
  readonly headersTimeoutMs: number;
  /** Time between two looks for headers that are late. */
  readonly checkIntervalMs: number;
  /** Most connections of callers; further ones are closed at once. */
  readonly connections: number;
}

export default CallerLimits;
