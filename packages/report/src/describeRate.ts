const ROUNDING_THRESHOLD = 100;

/**
 * Formats a burn rate.
 *
 * @param rate - the burn rate; a rate of 1 uses up the error budget exactly
 * @returns the rate with two decimals, or without decimals from 100 on
 */
export default function describeRate(rate: number): string {
  const text = rate.toFixed(2);
  return Number(text) < ROUNDING_THRESHOLD ? text : rate.toFixed(0);
}
