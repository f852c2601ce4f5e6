import type Logger from 'bunyan';

import type MetricsTask from '@guavayard/metrics/MetricsTask';
import type VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type Settings from '../settings/Settings';
import type VmReports from './VmReports';

/** What every role is given when it starts. */
interface RunContext {
  readonly settings: Settings;
  readonly identity: VmIdentity;
  /** Key shared by all VMs. */
  readonly key: string;
  /** Sessions with other VMs, shared by the roles. */
  readonly hub: VmHub;
  readonly log: Logger;
  /** What the roles tell about this VM when operators ask. */
  readonly reports: VmReports;
  /** Sends metrics, where the settings name a server for them. */
  readonly metrics: MetricsTask | undefined;
}

export default RunContext;
