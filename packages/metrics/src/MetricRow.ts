/** Static description of a metric. */
interface MetricRow {
  readonly type: 'counter' | 'gauge';
  /** Names of the tags. Their values come from fixed lists and from the configuration. */
  readonly tags: readonly string[];
  readonly meaning: string;
}

export default MetricRow;
