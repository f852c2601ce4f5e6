import { createHash, randomUUID } from 'node:crypto';

import type KeyClaim from '@guavayard/core/idempotency/KeyClaim';

import type CallerRequest from './CallerRequest';

const HASH_LENGTH = 32;
/** Maximum length of the body prefix that the fingerprint covers, in bytes. */
const MAX_HASHED_BODY_BYTES = 64 * 1024;

function hash(parts: readonly (string | Buffer)[]): string {
  const digest = createHash('sha256');
  parts.forEach((part) => digest.update(part).update('\n'));
  return digest.digest('hex').slice(0, HASH_LENGTH);
}

/**
 * Creates the claim of a request with an idempotency key. The key is scoped to its tenant and
 * service; the fingerprint covers the method, the path, the length and a prefix of the body.
 *
 * @param request - the caller's request
 * @param prefix - the first chunks of its body
 * @returns the claim
 */
export default function createKeyClaim(
  request: CallerRequest,
  prefix: readonly Buffer[],
): KeyClaim {
  const {
    req, match, method, path, deadlineMs,
  } = request;
  const tenant = req.headers['guavayard-tenant']?.toString() ?? '';
  const key = req.headers['idempotency-key']?.toString() ?? '';
  const length = req.headers['content-length'] ?? '';
  return {
    key: hash([tenant, match.serviceName, key]),
    fingerprint: hash([
      method,
      path,
      length,
      Buffer.concat(prefix).subarray(0, MAX_HASHED_BODY_BYTES),
    ]),
    claimId: randomUUID(),
    match,
    deadlineMs,
  };
}
