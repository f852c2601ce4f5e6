import type Configuration from '../types/Configuration';
import type ServiceObjectives from '../types/ServiceObjectives';
import burnAlertRules from './burnAlertRules';
import type BurnReport from './BurnReport';
import burnWindows from './burnWindows';
import calculateBurnRate from './calculateBurnRate';
import type EntryCounts from './EntryCounts';
import LatencyHistogram from './LatencyHistogram';
import mergeServiceCounts from './mergeServiceCounts';

type MergedCounts = ReturnType<typeof mergeServiceCounts>[number];
type ServiceBurn = BurnReport['services'][number];
type ObjectiveBurn = ServiceBurn['burns'][number];
type WindowBurn = ObjectiveBurn['windows'][number];

const PERCENTILES = [50, 99, 99.9] as const;
const CAUSE_ORDER_WINDOW_MS = 21_600_000;

function evaluateAlerts(windows: readonly WindowBurn[]): ObjectiveBurn['alerts'] {
  const getBurnRate = (windowMs: number): number => (
    windows.find((window) => window.windowMs === windowMs)?.burnRate ?? 0
  );
  return burnAlertRules.map(({
    severity, shortMs, longMs, burnRate,
  }) => ({
    severity,
    shortMs,
    longMs,
    threshold: burnRate,
    isFiring: getBurnRate(shortMs) >= burnRate && getBurnRate(longMs) >= burnRate,
  }));
}

function calculateRates(bad: readonly number[], total: readonly number[], share: number): number[] {
  return total.map((count, index) => calculateBurnRate(bad[index] ?? 0, count, share));
}

function subtractElementwise(left: readonly number[], right: readonly number[]): number[] {
  return left.map((count, index) => count - (right[index] ?? 0));
}

function createObjectiveBurn(
  objective: ObjectiveBurn['objective'],
  share: number,
  bad: readonly number[],
  total: readonly number[],
  series: readonly number[],
): ObjectiveBurn {
  const rates = calculateRates(bad, total, share);
  const windows = burnWindows.map((windowMs, index) => ({
    windowMs, total: total[index] ?? 0, bad: bad[index] ?? 0, burnRate: rates[index] ?? 0,
  }));
  return {
    objective, share, windows, alerts: evaluateAlerts(windows), series: [...series],
  };
}

function createBurns(
  counts: MergedCounts,
  objectives: ServiceObjectives | undefined,
): ObjectiveBurn[] {
  const burns: ObjectiveBurn[] = [];
  const { series } = counts;
  if (objectives?.availability !== undefined) {
    const share = objectives.availability;
    const rates = calculateRates(series.unavailable, series.total, share);
    burns.push(createObjectiveBurn('availability', share, counts.unavailable, counts.total, rates));
  }
  if (objectives?.latency !== undefined) {
    const { share } = objectives.latency;
    const answered = subtractElementwise(counts.total, counts.unavailable);
    const rates = calculateRates(
      series.slow,
      subtractElementwise(series.total, series.unavailable),
      share,
    );
    burns.push(createObjectiveBurn('latency', share, counts.slow, answered, rates));
  }
  return burns;
}

function createServiceBurn(counts: MergedCounts, configuration: Configuration): ServiceBurn {
  const objectives = configuration.services[counts.service ?? '']?.objectives;
  const [p50 = 0, p99 = 0, p999 = 0] = LatencyHistogram.percentiles(counts.latencies, PERCENTILES);
  const sortIndex = burnWindows.findIndex((windowMs) => windowMs === CAUSE_ORDER_WINDOW_MS);
  return {
    service: counts.service,
    objectives,
    totals: counts.total,
    burns: createBurns(counts, objectives),
    causes: [...counts.causes]
      .sort((left, right) => (right.counts[sortIndex] ?? 0) - (left.counts[sortIndex] ?? 0)),
    latencyMs: { p50, p99, p999 },
  };
}

/**
 * Creates the report on error budget burn.
 *
 * @param configuration - configuration that contains the objectives
 * @param entries - request counts of the entries
 * @param silent - names of VMs that did not respond
 * @returns the report over all services
 */
export default function createBurnReport(
  configuration: Configuration,
  entries: readonly EntryCounts[],
  silent: readonly string[],
): BurnReport {
  const merged = mergeServiceCounts(entries.flatMap((entry) => entry.services));
  return {
    windowsMs: [...burnWindows],
    services: merged.map((counts) => createServiceBurn(counts, configuration)),
    entries: entries.map(({ entry, dataCentre, uptimeMs }) => ({ entry, dataCentre, uptimeMs })),
    silent: [...silent],
  };
}
