import type RunResult from './RunResult';

const COLUMNS: readonly (readonly [string, (result: RunResult) => string])[] = [
  ['user', ({ user }) => user],
  ['load', ({ load }) => `${Math.round(load * 100)}%`],
  ['policy', ({ policy }) => policy],
  ['p50 ms', ({ p50Ms }) => p50Ms.toFixed(1)],
  ['p99 ms', ({ p99Ms }) => p99Ms.toFixed(0)],
  ['p99.9 ms', ({ p999Ms }) => p999Ms.toFixed(0)],
  ['refused', ({ refused }) => String(refused)],
  ['late', ({ late }) => String(late)],
  ['failed', ({ failed }) => String(failed)],
  ['hedged', ({ hedgeShare }) => `${(hedgeShare * 100).toFixed(1)}%`],
  ['wasted', ({ wastedShare }) => `${(wastedShare * 100).toFixed(1)}%`],
  ['remote', ({ remoteShare }) => `${(remoteShare * 100).toFixed(1)}%`],
  ['probes', ({ probes }) => String(probes)],
  ['B/s entry', ({ sharingBytesPerSecond }) => sharingBytesPerSecond.toFixed(0)],
];

/**
 * Formats results as a Markdown table.
 *
 * @param results - the results
 * @returns the table, one row per line
 */
export default function formatTable(results: readonly RunResult[]): string {
  const rows = [
    COLUMNS.map(([title]) => title),
    COLUMNS.map(() => '---'),
    ...results.map((result) => COLUMNS.map(([, format]) => format(result))),
  ];
  return rows.map((cells) => `| ${cells.join(' | ')} |`).join('\n');
}
