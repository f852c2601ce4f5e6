/** How one attempt ended, as evidence about its target. */
interface AttemptResult {
  /**
   * `answered`: a whole answer came. `refused`: the target shed the attempt or was not reached.
   * `failed`: the target failed while it may have run. `cancelled`: we or the caller gave up.
   */
  readonly evidence: 'answered' | 'refused' | 'failed' | 'cancelled';
  /** HTTP status of the answer, if its headers came. */
  readonly status: number | undefined;
  /** Value of the `guavayard-load` header of the answer, if it came. */
  readonly loadHeader: string | undefined;
}

export default AttemptResult;
