import { createHash } from 'node:crypto';

/**
 * Returns the digest by which a key is stored and looked up, so that no VM but those that hold the
 * declaration keeps keys.
 *
 * @param key - the key as it stands in the header
 * @returns its SHA-256 digest in base64url, 43 characters
 */
export default function hashKey(key: string): string {
  return createHash('sha256').update(key, 'latin1').digest('base64url');
}
