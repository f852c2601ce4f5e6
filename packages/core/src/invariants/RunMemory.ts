import type CheckedDispatch from './CheckedDispatch';

/** Most keyed runs that are remembered at a time. */
const MAX_KEYED_RUNS = 4096;

function describeKey({ match, idempotencyKey }: CheckedDispatch): string | undefined {
  return idempotencyKey === undefined ? undefined : `${match.serviceName} ${idempotencyKey}`;
}

/**
 * Remembers the runs that were begun: those with a key up to a fixed number, the oldest forgotten
 * first, and those without a key as long as their request lasts.
 */
export default class RunMemory {
  private readonly keys = new Set<string>();

  private readonly requests = new WeakSet<object>();

  /**
   * Notes that a run is begun.
   *
   * @param dispatch - the attempt that begins it
   * @returns false if it was begun before and never taken back
   */
  begin(dispatch: CheckedDispatch): boolean {
    const key = describeKey(dispatch);
    const isKnown = this.requests.has(dispatch.record) || (key !== undefined && this.keys.has(key));
    this.requests.add(dispatch.record);
    if (key !== undefined) this.keys.add(key);
    if (this.keys.size > MAX_KEYED_RUNS) this.forgetOldest();
    return !isKnown;
  }

  /**
   * Takes a run back, because there is evidence that the target did not begin it.
   *
   * @param dispatch - the attempt that was to begin it
   */
  takeBack(dispatch: CheckedDispatch): void {
    const key = describeKey(dispatch);
    this.requests.delete(dispatch.record);
    if (key !== undefined) this.keys.delete(key);
  }

  private forgetOldest(): void {
    const [oldest] = this.keys;
    if (oldest !== undefined) this.keys.delete(oldest);
  }
}
