interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/**
 * Splits the requests of each route between services by smooth weighted round-robin: the service
 * furthest behind its share comes next, so that every prefix of the sequence is close to the
 * weights.
 */
export default class WeightedRoundRobin {
  private readonly credits = new Map<string, Map<string, number>>();

  /**
   * Chooses the service of the next request.
   *
   * @param routeName - name of the route
   * @param parts - its services and their weights, at least one of them above 0
   * @returns the service of the next request
   */
  next(routeName: string, parts: readonly WeightedService[]): string {
    const [first] = parts;
    if (parts.length === 1 && first !== undefined) return first.service;
    const key = `${routeName} ${parts.map(({ service, weight }) => `${service}=${weight}`).join(' ')}`;
    const credits = this.credits.get(key) ?? new Map<string, number>();
    if (!this.credits.has(key)) this.credits.set(key, credits);
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    let best = first?.service ?? '';
    let bestCredit = -Infinity;
    parts.forEach(({ service, weight }) => {
      const credit = (credits.get(service) ?? 0) + weight / total;
      credits.set(service, credit);
      if (weight > 0 && credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    });
    credits.set(best, bestCredit - 1);
    return best;
  }
}
