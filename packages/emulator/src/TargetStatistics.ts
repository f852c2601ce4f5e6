/** What an emulated target has counted since it was made. */
interface TargetStatistics {
  /** Requests that it has begun to run. */
  runs: number;
  /** Runs by the value of the `idempotency-key` header. */
  readonly runsByKey: Map<string, number>;
  /** Requests refused before they ran. */
  shed: number;
  /** Requests failed at once. */
  failedFast: number;
  /** Requests that came while a cold target ran all that it bears. */
  overloads: number;
  /** Requests whose connection was closed before the answer was complete. */
  cancelled: number;
  /** Probes of the load. */
  probes: number;
  /** Most requests that held a slot at the same time. */
  mostInFlight: number;
}

export default TargetStatistics;
