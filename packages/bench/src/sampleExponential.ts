import type Random from '@guavayard/core/types/Random';

/**
 * @param random - source of random numbers
 * @param mean - mean of the distribution
 * @returns a sample of the exponential distribution
 */
export default function sampleExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}
