const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/* eslint-disable no-bitwise -- a hash is made of bits */

function hash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  return value;
}

/**
 * Ranks a member for a key, as rendezvous hashing does: the members of highest rank are taken.
 *
 * @param key - what the members compete for
 * @param memberName - name of the member
 * @returns an unsigned number of 32 bits, evenly spread
 */
export default function rankMember(key: string, memberName: string): number {
  // The finalizer spreads FNV's last characters over all bits.
  let value = hash(`${key}/${memberName}`);
  value = Math.imul(value ^ (value >>> 16), FIRST_MULTIPLIER);
  value = Math.imul(value ^ (value >>> 13), SECOND_MULTIPLIER);
  return (value ^ (value >>> 16)) >>> 0;
}
