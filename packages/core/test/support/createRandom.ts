const MODULUS = 2 ** 32;

/**
 * Creates a linear congruential generator whose numbers depend only on the seed.
 *
 * @param seed - the seed
 * @returns a function that returns random numbers from 0 up to, but not including, 1
 */
export default function createRandom(seed: number): () => number {
  let value = seed % MODULUS;
  return () => {
    value = (value * 1_664_525 + 1_013_904_223) % MODULUS;
    return value / MODULUS;
  };
}
