import type CheckedDispatch from './CheckedDispatch';

/** Maximum number of tracked runs with an idempotency key. */
const MAX_KEYED_RUNS = 4096;

function createRunKey({ match, idempotencyKey }: CheckedDispatch): string | undefined {
  return idempotencyKey === undefined ? undefined : `${match.serviceName} ${idempotencyKey}`;
}

/**
 * Tracks the runs that were started. Runs with an idempotency key are tracked up to a fixed number
 * and evicted oldest first; runs without a key are tracked for the lifetime of their request.
 */
export default class RunTracker {
  private readonly keys = new Set<string>();

  private readonly requests = new WeakSet<object>();

  /**
   * Records the start of a run.
   *
   * @param dispatch - the attempt that starts the run
   * @returns false if the run was started before and not revoked
   */
  begin(dispatch: CheckedDispatch): boolean {
    const key = createRunKey(dispatch);
    const isKnown = this.requests.has(dispatch.record) || (key !== undefined && this.keys.has(key));
    this.requests.add(dispatch.record);
    if (key !== undefined) this.keys.add(key);
    if (this.keys.size > MAX_KEYED_RUNS) this.evictOldest();
    return !isKnown;
  }

  /**
   * Revokes a run because there is evidence that the target did not start it.
   *
   * @param dispatch - the attempt that should have started the run
   */
  revoke(dispatch: CheckedDispatch): void {
    const key = createRunKey(dispatch);
    this.requests.delete(dispatch.record);
    if (key !== undefined) this.keys.delete(key);
  }

  private evictOldest(): void {
    const [oldest] = this.keys;
    if (oldest !== undefined) this.keys.delete(oldest);
  }
}
