import type { ServerResponse } from 'node:http';

import type StoredAnswer from '@guavayard/core/idempotency/StoredAnswer';

/**
 * Answers a caller with the answer of an earlier run of the same request.
 *
 * @param res - the caller's response
 * @param answer - the stored answer
 */
export default function sendStoredAnswer(res: ServerResponse, answer: StoredAnswer): void {
  res.writeHead(answer.status, { ...answer.headers, 'guavayard-replayed': 'true' });
  res.end(answer.body);
}
