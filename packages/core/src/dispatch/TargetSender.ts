import type SendAddress from '../types/SendAddress';
import type AnswerHandler from './AnswerHandler';
import type Dispatch from './Dispatch';
import type TargetRequest from './TargetRequest';

/** Sends requests to targets. */
interface TargetSender {
  /**
   * Sends a request.
   *
   * @param target - where to
   * @param req - the request
   * @param handler - receiver of the answer
   * @returns the exchange, to resume or abort it
   */
  send: (target: SendAddress, req: TargetRequest, handler: AnswerHandler) => Dispatch;
}

export default TargetSender;
