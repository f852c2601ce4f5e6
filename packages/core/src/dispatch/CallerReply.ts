import type Failure from '../errors/Failure';
import type AnswerHeaders from './AnswerHeaders';

/** The response to a request, whether its caller is connected to this entry or to another one. */
interface CallerReply {
  /** Whether the status and the headers have been sent. */
  readonly isStarted: boolean;
  /** Whether nothing can be sent any more. */
  readonly isClosed: boolean;
  /** Sends the status and the headers. */
  start: (status: number, headers: AnswerHeaders) => void;
  /**
   * Sends a chunk of the body.
   *
   * @returns false if the caller reads slowly; `onDrain` is called when it has caught up
   */
  write: (chunk: Buffer) => boolean;
  /** Completes the response, with a last chunk of the body. */
  end: (chunk?: Buffer) => void;
  /** Ends the response such that the caller does not take it for complete. */
  cut: () => void;
  /**
   * Sends the response to a request that failed.
   *
   * @param failure - why it failed
   * @param retryAfterMs - delay before the caller may retry, in milliseconds; undefined without one
   * @returns the status that the caller gets
   */
  refuse: (failure: Failure, retryAfterMs: number | undefined) => number;
  /** Registers a function that is called once nobody waits for the response any more. */
  onClose: (run: () => void) => void;
  /** Registers a function that is called whenever the caller has caught up. */
  onDrain: (run: () => void) => void;
}

export default CallerReply;
