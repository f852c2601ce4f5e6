import type Failure from '../errors/Failure';
import type AnswerHeaders from './AnswerHeaders';

/** Receiver of a target's answer. Exactly one of `onEnd` and `onFailure` comes last. */
interface AnswerHandler {
  /** A connection was given to the request: bytes of it may reach the target from now on. */
  onConnected: () => void;
  /** The status line and the headers have arrived. */
  onHeaders: (status: number, headers: AnswerHeaders) => void;
  /**
   * A part of the body has arrived.
   *
   * @returns false to pause the answer until `resume` of its dispatch
   */
  onData: (chunk: Buffer) => boolean;
  /** The answer is complete, by its length or its terminator. */
  onEnd: () => void;
  /** The exchange failed; nothing follows. */
  onFailure: (failure: Failure) => void;
}

export default AnswerHandler;
