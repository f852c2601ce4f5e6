import type Failure from '../errors/Failure';
import type AnswerHeaders from './AnswerHeaders';

/** Receives the response of a target. The last call is exactly one of `onEnd` and `onFailure`. */
interface AnswerHandler {
  /** Called when the request has a connection: from now on, bytes of it may reach the target. */
  onConnected: () => void;
  /** Called when the status line, with a status of 200 to 599, and the headers have arrived. */
  onHeaders: (status: number, headers: AnswerHeaders) => void;
  /**
   * Called when a chunk of the body has arrived.
   *
   * @returns false to pause the response until `resume` of its dispatch is called
   */
  onData: (chunk: Buffer) => boolean;
  /** Called when the response is complete, by its length or its terminator. */
  onEnd: () => void;
  /** Called when the exchange has failed. */
  onFailure: (failure: Failure) => void;
}

export default AnswerHandler;
