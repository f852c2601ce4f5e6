import type GatewayMetrics from '@guavayard/metrics/GatewayMetrics';

/** A running role of a VM. */
interface GatewayRole {
  /** What the role tells the metrics. */
  readonly readings: () => ReturnType<ConstructorParameters<typeof GatewayMetrics>[0]>;
  /** Has the metrics told of each request; only where the role serves requests. */
  readonly observe?: (metrics: GatewayMetrics) => void;
  /** Finishes what is under way; the process ends afterwards. */
  stop: () => Promise<void>;
}

export default GatewayRole;
