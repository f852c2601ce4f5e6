import { setTimeout as sleep } from 'node:timers/promises';

import type { Result } from 'ts-results';

import PauseDetector from '@guavayard/core/clock/PauseDetector';
import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type Clock from '@guavayard/core/types/Clock';

/** Delay after which the end of a call's connection is noticed, in milliseconds. */
const CALLER_CHECK_DELAY_MS = 5;
/** Time in which a call that came with an old basis is tried on newer ones, in milliseconds. */
const BASIS_RENEWAL_MS = 400;
const BASIS_RENEWAL_INTERVAL_MS = 50;

interface OrderSubmitterOptions {
  readonly clock: Clock;
  /** Monotonic clock that counts the time for which the VM was suspended. */
  readonly elapsedClock: Clock;
  /** Returns the index of the last entry in the log of this replica. */
  readonly lastLogIndex: () => number;
  /** Submits a change to the leader, with the index up to which the log was known. */
  readonly submit: (change: RegistryChange, basis: number) => Promise<Result<undefined, Failure>>;
}

/**
 * Submits changes without a version of their own. One is refused if it may have waited for so long
 * that its caller has moved on: the caller would send it again elsewhere, and perhaps later ones.
 */
export default class OrderSubmitter {
  private readonly pauses: PauseDetector;

  constructor(private readonly options: OrderSubmitterOptions) {
    this.pauses = new PauseDetector(options.elapsedClock());
  }

  /** Records that the process runs; called at short intervals. */
  tick(): void {
    this.pauses.tick(this.options.elapsedClock());
  }

  /**
   * Submits a change that has just been received.
   *
   * @param change - the change
   * @param isAbandoned - returns whether the caller has gone
   * @returns nothing once a quorum has synced the change, `overtaken`, or `noQuorum`
   */
  async submit(
    change: RegistryChange,
    isAbandoned: () => boolean,
  ): Promise<Result<undefined, Failure>> {
    const { clock, lastLogIndex, submit } = this.options;
    const receivedAtMs = clock();
    const basis = lastLogIndex();
    if (this.hasJustResumed) return fail('overtaken', 'this VM was paused');
    // The end of the connection may be received right behind the call.
    await sleep(CALLER_CHECK_DELAY_MS);
    if (isAbandoned()) return fail('overtaken', 'the caller has gone');
    let accepted = await submit(change, basis);
    // The log of this VM may be behind what its caller knows, which then still waits.
    while (accepted.err && accepted.val.kind === 'overtaken' && !isAbandoned()
      && clock() - receivedAtMs < BASIS_RENEWAL_MS) {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await sleep(BASIS_RENEWAL_INTERVAL_MS);
      const newBasis = lastLogIndex();
      if (this.hasJustResumed) return accepted;
      // eslint-disable-next-line no-await-in-loop
      accepted = await submit(change, newBasis);
    }
    return accepted;
  }

  private get hasJustResumed(): boolean {
    return this.pauses.hasJustResumed(this.options.elapsedClock());
  }
}
