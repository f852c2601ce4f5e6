import type Random from '@guavayard/core/types/Random';

const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/**
 * Makes a source of random numbers that repeats itself for the same seed (Lehmer's generator).
 *
 * @param seed - a whole number above 0
 * @returns the source
 */
export default function createRandom(seed: number): Random {
  let state = seed % MODULUS;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return (state - 1) / (MODULUS - 1);
  };
}
