import type GatewayMetrics from '@guavayard/metrics/GatewayMetrics';

/** A running role of a VM. */
interface GatewayRole {
  /** Returns the current values of the gauges. */
  readonly readGauges: () => Omit<ReturnType<ConstructorParameters<typeof GatewayMetrics>[0]>, 'errors' | 'unboundListeners' | 'sharedProtocolVersion' | 'held' | 'heldLimitBytes' | 'evictions' | 'refusedReservations'>;
  /** Reports each finished request to the metrics; only set by roles that serve requests. */
  readonly attachMetrics?: (metrics: GatewayMetrics) => void;
  /** Finishes the work in progress; the process ends afterwards. */
  stop: () => Promise<void>;
}

export default GatewayRole;
