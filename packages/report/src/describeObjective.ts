import type BurnReport from '@guavayard/core/objectives/BurnReport';

type ServiceBurn = BurnReport['services'][number];

const PERCENT = 100;
const MAX_DIGITS = 4;

/**
 * Formats one objective of a service.
 *
 * @param service - the service
 * @param objective - kind of the objective
 * @param share - share of requests that must be good
 * @returns for example `99.9% answered` or `99% within 250 ms`
 */
export default function describeObjective(
  service: ServiceBurn,
  objective: ServiceBurn['burns'][number]['objective'],
  share: number,
): string {
  const percent = `${Number((share * PERCENT).toFixed(MAX_DIGITS))}%`;
  if (objective === 'availability') return `${percent} answered`;
  return `${percent} within ${service.objectives?.latency?.thresholdMs ?? 0} ms`;
}
