import type { ServerResponse } from 'node:http';

/**
 * Runs an action that responds at once or, if the response would end the connection, once requests
 * have been read that arrived behind it: what calls this may be a timer that is late.
 *
 * @param res - the response, not started yet
 * @param run - writes the response; not called if the response has started or ended meanwhile
 */
export default function runAfterReads(res: ServerResponse, run: () => void): void {
  // The rest of a body is discarded from now on, which may end the connection.
  if (res.shouldKeepAlive || !res.req.complete) {
    run();
    return;
  }
  // The first turn may have begun after its reads.
  setImmediate(() => setImmediate(() => {
    if (!res.headersSent && !res.destroyed) run();
  }));
}
