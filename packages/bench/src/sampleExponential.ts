import type Random from '@guavayard/core/types/Random';

/**
 * Draws a sample from an exponential distribution.
 *
 * @param random - random number generator
 * @param mean - mean of the distribution
 * @returns the sample
 */
export default function sampleExponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}
