import type Random from '@guavayard/core/types/Random';

/**
 * @param random - source of random numbers
 * @param mean - mean of the distribution
 * @param sigma - standard deviation of its logarithm
 * @returns a sample of the log-normal distribution
 */
export default function sampleLogNormal(random: Random, mean: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
