import type { IncomingMessage, ServerResponse } from 'node:http';

/** Handles callers' requests. */
interface CallerHandler {
  /**
   * Handles a request. The response is eventually finished or destroyed in every case.
   *
   * @param req - the caller's request
   * @param res - the caller's response
   */
  handle: (req: IncomingMessage, res: ServerResponse) => void;

  /**
   * Refuses a request for which the process has no room, with a response that closes the
   * connection; without this method, the response is empty.
   *
   * @param req - the request, whose body is not read
   * @param res - the caller's response
   */
  refuse?: (req: IncomingMessage, res: ServerResponse) => void;
}

export default CallerHandler;
