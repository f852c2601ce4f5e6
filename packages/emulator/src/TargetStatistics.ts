/** Counters of an emulated target since its creation. */
interface TargetStatistics {
  /** Requests that the target started to run. */
  runs: number;
  /** Runs by the value of the `idempotency-key` header. */
  readonly runsByKey: Map<string, number>;
  /** Requests that were shed without being run. */
  shed: number;
  /** Requests failed immediately, because the target is failing fast. */
  failedFast: number;
  /** Requests that exceeded the concurrency limit of the cold target. */
  overloads: number;
  /** Requests whose connection was closed before the response was complete. */
  cancelled: number;
  /** Probe requests. */
  probes: number;
  /** Largest number of requests that held a slot at the same time. */
  mostInFlight: number;
}

export default TargetStatistics;
