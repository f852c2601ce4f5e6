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
}

export default CallerHandler;
