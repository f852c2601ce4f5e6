/**
 * Calculates the burn rate of an error budget.
 *
 * @param bad - number of requests that missed the objective
 * @param total - number of all counted requests
 * @param share - ratio of requests that must be good, below 1
 * @returns the burn rate: 1 uses up the budget exactly at the end of its period; 0 without requests
 */
export default function calculateBurnRate(bad: number, total: number, share: number): number {
  return total === 0 ? 0 : bad / total / (1 - share);
}
