/** One request of a caller. */
interface BenchRequest {
  readonly serviceName: string;
  /** Service time without slowdown, in milliseconds: of the first attempt, then of later ones. */
  readonly workMs: readonly [number, number];
  readonly isIdempotent: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
}

export default BenchRequest;
