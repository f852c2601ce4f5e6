/** One run of a request, recorded when the target starts it. */
interface RunRecord {
  readonly requestId: string;
  readonly key: string | undefined;
  readonly targetId: string;
  readonly dataCentre: string;
  /** Start time on the monotonic clock, in milliseconds. */
  readonly atMs: number;
}

export default RunRecord;
