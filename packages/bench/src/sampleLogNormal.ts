import type Random from '@guavayard/core/types/Random';

/**
 * Draws a sample from a log-normal distribution, with the Box-Muller transform.
 *
 * @param random - random number generator
 * @param mean - mean of the distribution
 * @param sigma - standard deviation of its logarithm
 * @returns the sample
 */
export default function sampleLogNormal(random: Random, mean: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
