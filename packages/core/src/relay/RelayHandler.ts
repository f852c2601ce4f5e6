import type AnswerHeaders from '../dispatch/AnswerHeaders';
import type Failure from '../errors/Failure';

/**
 * Receives the response to a relayed request. The last call is exactly one of `onEnd`, `onRefused`
 * and `onFailure`.
 */
interface RelayHandler {
  /** Called when an entry has agreed to serve the request, before any of it is sent there. */
  onGranted: (entryName: string) => void;
  onHeaders: (status: number, headers: AnswerHeaders) => void;
  /** @returns false to pause the response until `resume` of its dispatch is called */
  onData: (chunk: Buffer) => boolean;
  onEnd: () => void;
  /** Called if no entry agreed, so that the request has not been sent anywhere. */
  onRefused: (reason: string) => void;
  /**
   * Called if the request failed at the entry that had agreed.
   *
   * @param failure - why; its kind says whether the request may have run
   * @param retryAfterMs - delay before the caller may retry, in milliseconds
   */
  onFailure: (failure: Failure, retryAfterMs: number | undefined) => void;
}

export default RelayHandler;
