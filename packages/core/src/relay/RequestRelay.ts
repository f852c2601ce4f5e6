import type Dispatch from '../dispatch/Dispatch';
import type RelayHandler from './RelayHandler';
import type RelayRequest from './RelayRequest';

/** Relays requests to other entries. */
interface RequestRelay {
  /**
   * Asks other entries to serve a request, one after the other, and sends it to the first that
   * agrees.
   *
   * @param request - the request
   * @param handler - receives the response
   * @returns a handle to resume or abort the exchange
   */
  send: (request: RelayRequest, handler: RelayHandler) => Dispatch;
}

export default RequestRelay;
