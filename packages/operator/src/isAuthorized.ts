import { createHash, timingSafeEqual } from 'node:crypto';

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Checks the bearer token of a request. The comparison takes constant time, so that its duration
 * reveals nothing about the token.
 *
 * @param header - the `authorization` header, or null
 * @param token - expected bearer token of the operators
 * @returns true if the header holds the token
 */
export default function isAuthorized(header: string | null, token: string): boolean {
  if (header === null) return false;
  return timingSafeEqual(hash(header), hash(`Bearer ${token}`));
}
