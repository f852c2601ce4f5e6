import type CallerReply from '@guavayard/core/dispatch/CallerReply';
import selectAnswerHeaders from '@guavayard/core/http/selectAnswerHeaders';
import type ByteBudget from '@guavayard/core/limits/ByteBudget';

import type Attempt from './Attempt';

/** Largest response body that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Statuses of responses that have no body, regardless of their headers. */
const BODILESS_STATUSES = new Set([204, 304]);

interface ResponseForwarderOptions {
  /** Budget of this entry for buffered response bytes. */
  readonly responseBytes: ByteBudget;
  /** Method of the caller's request. */
  readonly method: string;
  readonly reply: CallerReply;
}

/** Buffers the responses of targets and sends the one that the caller gets. */
export default class ResponseForwarder {
  constructor(private readonly options: ResponseForwarderOptions) {}

  /**
   * Takes a chunk of a response: buffers it, or sends it on if the response is too long for that.
   *
   * @param attempt - the attempt that it answers
   * @param chunk - the chunk
   * @param mayStream - whether the response may be sent before it is complete
   * @returns false to pause the response, undefined if it is too long to be taken
   */
  take(attempt: Attempt, chunk: Buffer, mayStream: () => boolean): boolean | undefined {
    const state = attempt;
    const { responseBytes, reply } = this.options;
    if (state.isForwarding) return reply.write(chunk);
    const mayBuffer = state.bufferedBytes + chunk.length <= MAX_BUFFERED_BYTES
      && responseBytes.tryReserve(chunk.length);
    if (mayBuffer) {
      state.bufferedChunks.push(chunk);
      state.bufferedBytes += chunk.length;
      return true;
    }
    if (!mayStream()) return undefined;
    state.isForwarding = true;
    reply.start(state.status ?? 0, selectAnswerHeaders(state.headers));
    const parts = [...state.bufferedChunks, chunk];
    this.release(state);
    return parts.map((part) => reply.write(part)).every(Boolean);
  }

  /**
   * Completes the response to the caller.
   *
   * @param attempt - the attempt whose response the caller gets
   * @param hasFailed - whether the rest of a response that is being streamed is lost
   */
  complete(attempt: Attempt, hasFailed: boolean): void {
    const { reply, method } = this.options;
    if (attempt.isForwarding) {
      // A partial response must not look complete to the caller.
      if (hasFailed) reply.cut();
      else reply.end();
      return;
    }
    const status = attempt.status ?? 0;
    const headers = { ...selectAnswerHeaders(attempt.headers) };
    const isBodiless = method === 'HEAD' || BODILESS_STATUSES.has(status);
    if (!isBodiless) headers['content-length'] = String(attempt.bufferedBytes);
    this.releaseWhenSent(attempt);
    reply.start(status, headers);
    reply.end(Buffer.concat(attempt.bufferedChunks));
  }

  /** Drops what is buffered of a response. */
  release(attempt: Attempt): void {
    const state = attempt;
    this.options.responseBytes.release(state.bufferedBytes);
    state.bufferedChunks = [];
    state.bufferedBytes = 0;
  }

  /** Counts a response as buffered until a caller that reads slowly has received it. */
  private releaseWhenSent(attempt: Attempt): void {
    const state = attempt;
    const { responseBytes, reply } = this.options;
    const bytes = state.bufferedBytes;
    state.bufferedBytes = 0;
    reply.onClose(() => responseBytes.release(bytes));
  }
}
