import type Logger from 'bunyan';

import type ResourceAccount from '@guavayard/core/limits/ResourceAccount';
import type VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type ErrorBoundary from '../run/ErrorBoundary';
import type GatewaySettings from '../settings/GatewaySettings';
import type ListenerGroup from './ListenerGroup';

/** Dependencies that are passed to each role of a VM when it starts. */
interface GatewayContext {
  readonly settings: GatewaySettings;
  /** What the process holds for its clients. */
  readonly account: ResourceAccount;
  /** Maximum number of connections of clients. */
  readonly connections: number;
  readonly identity: VmIdentity;
  readonly hub: VmHub;
  readonly log: Logger;
  readonly errors: ErrorBoundary;
  readonly listeners: ListenerGroup;
  /** Session addresses of the seeds; updated in place when the settings file is reloaded. */
  readonly seeds: string[];
}

export default GatewayContext;
