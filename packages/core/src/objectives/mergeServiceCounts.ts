import type ServiceCounts from './ServiceCounts';

/** Counts of one service over all entries. */
interface MergedCounts extends Omit<ServiceCounts, 'latencies'> {
  readonly latencies: readonly string[];
}

function addElementwise(left: readonly number[], right: readonly number[]): number[] {
  return left.map((count, index) => count + (right[index] ?? 0));
}

function mergeCauses(
  left: ServiceCounts['causes'],
  right: ServiceCounts['causes'],
): ServiceCounts['causes'] {
  const merged = new Map(left.map((row) => [`${row.cause} ${row.dataCentre ?? ''}`, row]));
  right.forEach((row) => {
    const key = `${row.cause} ${row.dataCentre ?? ''}`;
    const known = merged.get(key);
    const counts = known === undefined ? row.counts : addElementwise(known.counts, row.counts);
    merged.set(key, { ...row, counts });
  });
  return [...merged.values()];
}

function addServiceCounts(left: MergedCounts, right: ServiceCounts): MergedCounts {
  return {
    service: left.service,
    total: addElementwise(left.total, right.total),
    unavailable: addElementwise(left.unavailable, right.unavailable),
    slow: addElementwise(left.slow, right.slow),
    causes: mergeCauses(left.causes, right.causes),
    series: {
      total: addElementwise(left.series.total, right.series.total),
      unavailable: addElementwise(left.series.unavailable, right.series.unavailable),
      slow: addElementwise(left.series.slow, right.series.slow),
    },
    latencies: [...left.latencies, right.latencies],
  };
}

/**
 * Merges the counts of all entries by service.
 *
 * @param counts - counts of all services on all entries
 * @returns one sum per service, sorted by service name; requests without a service come last
 */
export default function mergeServiceCounts(counts: readonly ServiceCounts[]): MergedCounts[] {
  const merged = new Map<string | undefined, MergedCounts>();
  counts.forEach((one) => {
    const known = merged.get(one.service);
    const sum = known === undefined
      ? { ...one, latencies: [one.latencies] }
      : addServiceCounts(known, one);
    merged.set(one.service, sum);
  });
  return [...merged.values()]
    .sort((left, right) => ((left.service ?? '~') < (right.service ?? '~') ? -1 : 1));
}
