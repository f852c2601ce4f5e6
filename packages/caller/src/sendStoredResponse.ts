import type { ServerResponse } from 'node:http';

import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';

/**
 * Sends the caller the stored response of an earlier run of the same request.
 *
 * @param res - the caller's response
 * @param stored - the stored response
 */
export default function sendStoredResponse(res: ServerResponse, stored: StoredAnswer): void {
  res.writeHead(stored.status, { ...stored.headers, 'guavayard-replayed': 'true' });
  res.end(stored.body);
}
