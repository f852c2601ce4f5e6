const MANY = 100;

/**
 * Describes a burn rate.
 *
 * @param rate - the rate; 1 uses up the budget exactly
 * @returns the rate with two digits after the point, without them from 100 on
 */
export default function describeRate(rate: number): string {
  const text = rate.toFixed(2);
  return Number(text) < MANY ? text : rate.toFixed(0);
}
