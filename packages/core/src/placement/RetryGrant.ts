/** A retry that was taken from the budget. */
interface RetryGrant {
  /** Records when the retry was sent, by the monotonic clock. */
  readonly recordSent: (atMs: number) => void;
  /** Returns the retry to the budget if it was never sent. */
  readonly release: () => void;
}

export default RetryGrant;
