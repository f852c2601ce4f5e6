/** What is known of one metric before it is ever sent. */
interface MetricRow {
  readonly type: 'counter' | 'gauge';
  /** Names of its tags. Their values come from closed lists and from the configuration. */
  readonly tags: readonly string[];
  readonly meaning: string;
}

export default MetricRow;
