import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import errorTable from '@guavayard/core/errors/errorTable';
import type Failure from '@guavayard/core/errors/Failure';
import relayLimits from '@guavayard/core/relay/relayLimits';

import type VmMessage from '../messages/VmMessage';

/** The response to a request that another entry relays, sent over the session with that entry. */
export default class RelayedReply implements CallerReply {
  isStarted = false;

  isClosed = false;

  private unreadBytes = 0;

  private readonly closeListeners: (() => void)[] = [];

  private readonly drainListeners: (() => void)[] = [];

  /**
   * @param relayId - id of the relay within the session
   * @param sendMessage - sends a message over the session
   */
  constructor(
    private readonly relayId: number,
    private readonly sendMessage: (message: VmMessage) => void,
  ) {}

  start(status: number, headers: AnswerHeaders): void {
    if (this.isClosed) return;
    this.isStarted = true;
    const sent = Object.entries(headers)
      .flatMap(([name, value]) => (value === undefined ? [] : [[name, value] as const]));
    this.sendMessage({
      kind: 'relayResponse', relayId: this.relayId, status, headers: Object.fromEntries(sent),
    });
  }

  write(chunk: Buffer): boolean {
    if (this.isClosed) return true;
    const { chunkBytes, windowBytes } = relayLimits;
    for (let start = 0; start < chunk.length; start += chunkBytes) {
      this.sendMessage({
        kind: 'relayData', relayId: this.relayId, chunk: chunk.subarray(start, start + chunkBytes),
      });
    }
    this.unreadBytes += chunk.length;
    return this.unreadBytes < windowBytes;
  }

  end(chunk?: Buffer): void {
    if (this.isClosed) return;
    if (chunk !== undefined) this.write(chunk);
    this.sendMessage({ kind: 'relayEnd', relayId: this.relayId });
    this.close();
  }

  cut(): void {
    this.refuse({ kind: 'relayFailed', detail: 'the response was cut short' }, undefined);
  }

  refuse(failure: Failure, retryAfterMs: number | undefined): number {
    if (!this.isClosed) {
      this.sendMessage({
        kind: 'relayFailure',
        relayId: this.relayId,
        failure,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
      });
      this.close();
    }
    return errorTable[failure.kind].status;
  }

  onClose(run: () => void): void {
    this.closeListeners.push(run);
  }

  onDrain(run: () => void): void {
    this.drainListeners.push(run);
  }

  /** Records that the other entry has consumed a part of the response. */
  confirmRead(bytes: number): void {
    const wasFull = this.unreadBytes >= relayLimits.windowBytes;
    this.unreadBytes = Math.max(0, this.unreadBytes - bytes);
    if (wasFull && this.unreadBytes < relayLimits.windowBytes) {
      this.drainListeners.forEach((run) => run());
    }
  }

  /** Ends the response without a message, as after one that completes it. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    // As with a socket, the end of the response is reported once the current work is done.
    queueMicrotask(() => this.closeListeners.splice(0).forEach((run) => run()));
  }
}
