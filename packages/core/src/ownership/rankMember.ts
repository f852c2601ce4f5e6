const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/* eslint-disable no-bitwise -- hash functions operate on bits */

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  return value;
}

/**
 * Computes the rank of a member for a key in rendezvous hashing, which chooses the members with the
 * highest ranks.
 *
 * @param key - the key to assign
 * @param memberName - name of the member
 * @returns a uniformly distributed unsigned 32-bit integer
 */
export default function rankMember(key: string, memberName: string): number {
  // The finalizer spreads the last characters of the FNV-1a input over all bits.
  let value = hash(`${key}/${memberName}`);
  value = Math.imul(value ^ (value >>> 16), FIRST_MULTIPLIER);
  value = Math.imul(value ^ (value >>> 13), SECOND_MULTIPLIER);
  return (value ^ (value >>> 16)) >>> 0;
}
