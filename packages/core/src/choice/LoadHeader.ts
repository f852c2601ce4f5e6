/** What a target tells about its load in its answers. */
interface LoadHeader {
  /** Requests that the target has, running or waiting, after this answer. */
  readonly inFlight: number;
}

export default LoadHeader;
