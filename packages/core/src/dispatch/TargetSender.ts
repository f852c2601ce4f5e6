import type SendAddress from '../types/SendAddress';
import type AnswerHandler from './AnswerHandler';
import type Dispatch from './Dispatch';
import type TargetRequest from './TargetRequest';

/** Sends requests to targets. */
interface TargetSender {
  /**
   * Sends a request.
   *
   * @param target - address of the target
   * @param req - the request
   * @param handler - receives the response
   * @returns a handle to resume or abort the exchange
   */
  send: (target: SendAddress, req: TargetRequest, handler: AnswerHandler) => Dispatch;
  /**
   * Counts the open connections to a target that have carried a response and can take a request at
   * once.
   *
   * @param address - address of the target
   * @returns the number of connections
   */
  countReady: (address: string) => number;
  /**
   * Returns whether a bound request may be sent on a new connection.
   *
   * @param address - address of the target
   * @returns true if it would reach the process that the last probe has told of
   */
  mayOpen: (address: string) => boolean;
}

export default TargetSender;
