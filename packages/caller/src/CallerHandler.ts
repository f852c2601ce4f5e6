import type { IncomingMessage, ServerResponse } from 'node:http';

/** Serves callers' requests. */
interface CallerHandler {
  /**
   * Serves a request. The response is always finished or destroyed in the end.
   *
   * @param req - the caller's request
   * @param res - the caller's response
   */
  handle: (req: IncomingMessage, res: ServerResponse) => void;
}

export default CallerHandler;
