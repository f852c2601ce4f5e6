import type Random from '../types/Random';

const INCREMENT = 0x6d2b79f5;
const RANGE = 4_294_967_296;

/* eslint-disable no-bitwise -- the generator is defined by bitwise operations */
/**
 * Creates a deterministic random number generator (mulberry32) from a seed.
 *
 * @param seed - any integer
 * @returns a generator that produces the same sequence for the same seed
 */
export default function createRandom(seed: number): Random {
  let state = seed | 0;
  return () => {
    state = (state + INCREMENT) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / RANGE;
  };
}
