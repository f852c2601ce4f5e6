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
}

export default TargetSender;
