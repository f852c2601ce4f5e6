import type Logger from 'bunyan';

import type MetricsTask from '@guavayard/metrics/MetricsTask';
import type VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type Settings from '../settings/Settings';
import type ErrorBoundary from './ErrorBoundary';
import type VmReports from './VmReports';

/** Dependencies that are passed to each role when it starts. */
interface RunContext {
  readonly settings: Settings;
  readonly identity: VmIdentity;
  /** Key shared by all VMs. */
  readonly key: string;
  /** Sessions with other VMs, shared by the roles. */
  readonly hub: VmHub;
  readonly log: Logger;
  readonly errors: ErrorBoundary;
  /** Status and request counts of this VM, for operators. */
  readonly reports: VmReports;
  /** Sends metrics; undefined if the settings name no statsd server. */
  readonly metrics: MetricsTask | undefined;
}

export default RunContext;
