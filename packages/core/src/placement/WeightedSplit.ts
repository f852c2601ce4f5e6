interface Part {
  readonly service: string;
  readonly weight: number;
}

/**
 * Divides the requests of each route between services by weight, evenly at any length of the
 * sequence: the service that is furthest behind its share goes next.
 */
export default class WeightedSplit {
  private readonly credits = new Map<string, Map<string, number>>();

  /**
   * @param routeName - the route
   * @param parts - its services and their weights, which are not all 0
   * @returns the service of the next request
   */
  next(routeName: string, parts: readonly Part[]): string {
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
