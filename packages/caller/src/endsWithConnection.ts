import type { ServerResponse } from 'node:http';

/**
 * Returns whether a response may be complete once its connection ends, as with HTTP/1.0.
 *
 * @param res - the response
 */
export default function endsWithConnection(res: ServerResponse): boolean {
  return res.headersSent && !res.useChunkedEncodingByDefault;
}
