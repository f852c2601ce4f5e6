const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FACTOR = 0x85ebca6b;

/* eslint-disable no-bitwise -- FNV-1a is defined by bitwise operations */
/**
 * Hashes a target id to 18 bits (FNV-1a with a final mix), so that load reports stay small.
 *
 * @param id - the target id
 * @returns a number from 0 to 2^18 - 1
 */
export default function hashTargetId(id: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < id.length; index += 1) {
    hash = Math.imul(hash ^ id.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone gives similar ids similar high bits.
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTOR);
  return (hash ^ (hash >>> 16)) >>> 14;
}
