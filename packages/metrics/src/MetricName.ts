import type metricTable from './metricTable';

/** Name of a row in the table of metrics. */
type MetricName = keyof typeof metricTable;

export default MetricName;
