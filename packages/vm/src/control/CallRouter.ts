import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import adaptCall from './adaptCall';
import type ConsensusTask from './ConsensusTask';
import type ControlCall from './ControlCall';
import type ControlResponse from './ControlResponse';

/** Longest time for which a call is retried until a leader responds. */
const CALL_TIMEOUT_MS = 6000;
/** Longest wait for the response of one leader, which may have failed meanwhile. */
const LEADER_RESPONSE_TIMEOUT_MS = 2500;
const RETRY_DELAY_MS = 50;

interface CallRouterOptions {
  readonly hub: VmHub;
  readonly clock: Clock;
  readonly consensus: Pick<ConsensusTask, 'isLeader' | 'leaderName'>;
  /** Longest time for which a call is retried, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Longest wait for the response of one leader, in milliseconds. */
  readonly forwardTimeoutMs?: number;
  /** Handles a call on the leader; returns undefined if this VM no longer leads. */
  readonly handleCall: (call: ControlCall) => Promise<ControlResponse | undefined>;
}

/** Forwards operators' calls to the leader. All calls are idempotent, so they can be retried. */
export default class CallRouter implements SessionHandler {
  private readonly pending = new Map<number, (response: ControlResponse | undefined) => void>();

  private lastCallId = 0;

  constructor(private readonly options: CallRouterOptions) {}

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'controlAnswer') this.settle(message.callId, message.answer);
    if (message.kind !== 'controlCall') return;
    const { callId, call } = message;
    const { handleCall, hub } = this.options;
    handleCall(call).then((answer) => {
      if (answer !== undefined) hub.respond(session, { kind: 'controlAnswer', callId, answer });
    }).catch(() => undefined);
  }

  onClose(): void {}

  /**
   * Sends a call to the current leader and retries until one responds.
   *
   * @param call - the call to forward
   * @returns the leader's response, or `noQuorum` if no leader responded in time
   */
  async call(call: ControlCall): Promise<ControlResponse> {
    const { clock, callTimeoutMs = CALL_TIMEOUT_MS } = this.options;
    const deadlineMs = clock() + callTimeoutMs;
    let response = await this.attemptCall(call);
    while (response === undefined && clock() < deadlineMs) {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
      // eslint-disable-next-line no-await-in-loop
      response = await this.attemptCall(call);
    }
    return response ?? { kind: 'failure', failure: { kind: 'noQuorum', detail: '' } };
  }

  private async attemptCall(call: ControlCall): Promise<ControlResponse | undefined> {
    const {
      consensus, hub, handleCall, forwardTimeoutMs = LEADER_RESPONSE_TIMEOUT_MS,
    } = this.options;
    if (consensus.isLeader) return handleCall(call);
    const { leaderName } = consensus;
    if (leaderName === undefined) return undefined;
    this.lastCallId += 1;
    const callId = this.lastCallId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.settle(callId, undefined), forwardTimeoutMs);
      this.pending.set(callId, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      const adapted = adaptCall(call, hub.protocolVersionOf(leaderName));
      if (adapted === undefined || !hub.send(leaderName, { kind: 'controlCall', callId, call: adapted })) {
        this.settle(callId, undefined);
      }
    });
  }

  private settle(callId: number, response: ControlResponse | undefined): void {
    this.pending.get(callId)?.(response);
    this.pending.delete(callId);
  }
}
