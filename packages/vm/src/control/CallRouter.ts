import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import type SessionHandler from '../session/SessionHandler';
import type VmHub from '../session/VmHub';
import type VmSession from '../session/VmSession';
import type ConsensusTask from './ConsensusTask';
import type ControlAnswer from './ControlAnswer';
import type ControlCall from './ControlCall';

/** Longest time in which a call looks for a leader that answers it. */
const CALL_TIMEOUT_MS = 6000;
/** Longest wait for one leader's answer: it may be gone. */
const FORWARD_TIMEOUT_MS = 2500;
const RETRY_DELAY_MS = 50;

interface CallRouterOptions {
  readonly hub: VmHub;
  readonly clock: Clock;
  readonly consensus: ConsensusTask;
  /** Longest time in which a call looks for a leader, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Longest wait for one leader's answer, in milliseconds. */
  readonly forwardTimeoutMs?: number;
  /** Answers a call on the leader; undefined if it does not lead any more. */
  readonly answer: (call: ControlCall) => Promise<ControlAnswer | undefined>;
}

/** Brings operators' calls to the leader. All calls are idempotent, so they may be sent again. */
export default class CallRouter implements SessionHandler {
  private readonly waiting = new Map<number, (answer: ControlAnswer | undefined) => void>();

  private lastCallId = 0;

  constructor(private readonly options: CallRouterOptions) {}

  onOpen(): void {}

  onMessage(session: VmSession, message: VmMessage): void {
    if (message.kind === 'controlAnswer') this.finish(message.callId, message.answer);
    if (message.kind !== 'controlCall') return;
    const { callId, call } = message;
    this.options.answer(call).then((answer) => {
      if (answer !== undefined) session.send({ kind: 'controlAnswer', callId, answer });
    }).catch(() => undefined);
  }

  onClose(): void {}

  /**
   * Has a call answered by the leader, whoever leads.
   *
   * @param call - the call
   * @returns the answer, or `noQuorum` if no leader answered in time
   */
  async call(call: ControlCall): Promise<ControlAnswer> {
    const { clock, callTimeoutMs = CALL_TIMEOUT_MS } = this.options;
    const deadlineMs = clock() + callTimeoutMs;
    let answer = await this.tryOnce(call);
    while (answer === undefined && clock() < deadlineMs) {
      // eslint-disable-next-line no-await-in-loop -- each try waits for the one before
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
      // eslint-disable-next-line no-await-in-loop
      answer = await this.tryOnce(call);
    }
    return answer ?? { kind: 'failure', failure: { kind: 'noQuorum', detail: '' } };
  }

  private async tryOnce(call: ControlCall): Promise<ControlAnswer | undefined> {
    const {
      consensus, hub, answer, forwardTimeoutMs = FORWARD_TIMEOUT_MS,
    } = this.options;
    if (consensus.isLeader) return answer(call);
    const { leaderName } = consensus;
    if (leaderName === undefined) return undefined;
    this.lastCallId += 1;
    const callId = this.lastCallId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.finish(callId, undefined), forwardTimeoutMs);
      this.waiting.set(callId, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      if (!hub.send(leaderName, { kind: 'controlCall', callId, call })) {
        this.finish(callId, undefined);
      }
    });
  }

  private finish(callId: number, answer: ControlAnswer | undefined): void {
    this.waiting.get(callId)?.(answer);
    this.waiting.delete(callId);
  }
}
