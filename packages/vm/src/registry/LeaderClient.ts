import { Err, Ok, type Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import RegistryChange from '@guavayard/core/registry/RegistryChange';

import type CallRouter from '../control/CallRouter';
import type ControlCall from '../control/ControlCall';
import type ControlResponse from '../control/ControlResponse';

/** Sends calls to the leader of the registry, each with a limited time. */
export default class LeaderClient {
  /**
   * @param router - forwards calls to the leader
   * @param timeoutMs - longest time for one call, in milliseconds
   */
  constructor(
    private readonly router: Pick<CallRouter, 'call'>,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Calls the leader.
   *
   * @param call - the call
   * @returns the response, the failure that the leader responded with, or `noQuorum`
   */
  async call(call: ControlCall): Promise<Result<ControlResponse, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<ControlResponse>((resolve) => {
      timer = setTimeout(() => resolve({
        kind: 'failure', failure: { kind: 'noQuorum', detail: 'no answer in time' },
      }), this.timeoutMs);
    });
    const response = await Promise.race([this.router.call(call), timeout]);
    clearTimeout(timer);
    return response.kind === 'failure' ? Err(response.failure) : Ok(response);
  }

  /**
   * Submits a change.
   *
   * @param change - the change
   * @param basis - index up to which the log was known when the change was received; only for
   *   changes without a version of their own
   * @returns nothing once a quorum has synced the change, or why it was not accepted
   */
  async submit(change: RegistryChange, basis?: number): Promise<Result<undefined, Failure>> {
    const parsed = RegistryChange.safeParse(change);
    // A record that no replica can read back would stop all of them.
    if (!parsed.success) return fail('invalidPatch', parsed.error.message);
    const response = await this.call({
      kind: 'change', change: parsed.data, ...(basis === undefined ? {} : { basis }),
    });
    return response.map(() => undefined);
  }
}
