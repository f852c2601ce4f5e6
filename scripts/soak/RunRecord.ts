/** One run that a target began. */
interface RunRecord {
  readonly requestId: string;
  readonly key: string | undefined;
  readonly targetId: string;
  readonly dataCentre: string;
  /** Moment on the clock of the soak, in milliseconds. */
  readonly atMs: number;
}

export default RunRecord;
