/**
 * Calculates how fast an error budget burns.
 *
 * @param bad - requests that missed the objective
 * @param total - all requests that count
 * @param share - share of requests that must be good, below 1
 * @returns 1 where the budget is used up exactly at the end of its period, 0 without requests
 */
export default function calculateBurnRate(bad: number, total: number, share: number): number {
  return total === 0 ? 0 : bad / total / (1 - share);
}
