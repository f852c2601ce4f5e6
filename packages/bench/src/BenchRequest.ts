/** One request of a caller. */
interface BenchRequest {
  readonly serviceName: string;
  /** Time that it takes on a quick target, in milliseconds, for the first and second attempt. */
  readonly workMs: readonly [number, number];
  readonly isIdempotent: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

export default BenchRequest;
