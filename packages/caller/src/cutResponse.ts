import type { ServerResponse } from 'node:http';

import endsWithConnection from './endsWithConnection';

/**
 * Breaks off a response, so that the caller cannot mistake it for a complete one. To a caller of
 * HTTP/1.0 the end of the connection may be the end of the response, so the connection is reset.
 *
 * @param res - the response, complete or not
 */
export default function cutResponse(res: ServerResponse): void {
  if (endsWithConnection(res)) res.socket?.resetAndDestroy();
  res.destroy();
}
