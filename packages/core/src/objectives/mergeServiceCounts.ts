import type ServiceCounts from './ServiceCounts';

/** The counts of one service over all entries. */
interface MergedCounts extends Omit<ServiceCounts, 'latencies'> {
  readonly latencies: readonly string[];
}

function addEach(left: readonly number[], right: readonly number[]): number[] {
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
    const counts = known === undefined ? row.counts : addEach(known.counts, row.counts);
    merged.set(key, { ...row, counts });
  });
  return [...merged.values()];
}

function mergeTwo(left: MergedCounts, right: ServiceCounts): MergedCounts {
  return {
    service: left.service,
    total: addEach(left.total, right.total),
    unavailable: addEach(left.unavailable, right.unavailable),
    slow: addEach(left.slow, right.slow),
    causes: mergeCauses(left.causes, right.causes),
    series: {
      total: addEach(left.series.total, right.series.total),
      unavailable: addEach(left.series.unavailable, right.series.unavailable),
      slow: addEach(left.series.slow, right.series.slow),
    },
    latencies: [...left.latencies, right.latencies],
  };
}

/**
 * Adds up what the entries counted for each service.
 *
 * @param counts - counts of all entries
 * @returns one sum a service, sorted by its name, those without a service last
 */
export default function mergeServiceCounts(counts: readonly ServiceCounts[]): MergedCounts[] {
  const merged = new Map<string | undefined, MergedCounts>();
  counts.forEach((one) => {
    const known = merged.get(one.service);
    const sum = known === undefined
      ? { ...one, latencies: [one.latencies] }
      : mergeTwo(known, one);
    merged.set(one.service, sum);
  });
  return [...merged.values()]
    .sort((left, right) => ((left.service ?? '~') < (right.service ?? '~') ? -1 : 1));
}
