/** Load that a target reports in the headers of its responses. */
interface LoadHeader {
  /** Requests that the target has, running or waiting, after this response. */
  readonly inFlight: number;
}

export default LoadHeader;
