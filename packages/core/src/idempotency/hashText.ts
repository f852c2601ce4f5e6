const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/* eslint-disable no-bitwise -- the hash is defined by bitwise operations */
/**
 * Hashes a string to 32 bits with FNV-1a, followed by the finalizer of MurmurHash3 so that the last
 * characters affect all bits as well.
 *
 * @param text - the string to hash
 * @returns an integer from 0 to 2^32 - 1
 */
export default function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_2);
  return (hash ^ (hash >>> 16)) >>> 0;
}
