import type metricTable from './metricTable';

/** Name of a metric in `metricTable`. */
type MetricName = keyof typeof metricTable;

export default MetricName;
