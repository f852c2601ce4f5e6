/** Result of one attempt, as evidence about the state of its target. */
interface AttemptResult {
  /**
   * `answered`: a complete response arrived. `refused`: the target shed the attempt or was not
   * reached. `failed`: the target failed, and may have run the attempt. `cancelled`: this entry or
   * the caller gave up.
   */
  readonly evidence: 'answered' | 'refused' | 'failed' | 'cancelled';
  /** HTTP status of the response, if its headers arrived. */
  readonly status: number | undefined;
  /** Value of the `guavayard-load` header of the response, if present. */
  readonly loadHeader: string | undefined;
}

export default AttemptResult;
