/** Limits that protect an entry from callers that use too many resources. */
interface CallerLimits {
  /** Maximum size of the header section of a request, in bytes. */
  readonly headerBytes: number;
  /** Maximum time for the headers of a request to arrive. */
  readonly headersTimeoutMs: number;
  /** Interval between checks for headers that are overdue. */
  readonly checkIntervalMs: number;
  /** Maximum time for a caller to read what is buffered of its response once it is complete. */
  readonly unreadMs: number;
  /** Maximum number of caller connections; any beyond it are closed immediately. */
  readonly connections: number;
}

export default CallerLimits;
