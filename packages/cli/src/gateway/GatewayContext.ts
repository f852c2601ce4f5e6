import type Logger from 'bunyan';

import type VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type ErrorBoundary from '../run/ErrorBoundary';
import type GatewaySettings from '../settings/GatewaySettings';
import type GarbageWatch from './GarbageWatch';
import type ListenerGroup from './ListenerGroup';

/** Dependencies that are passed to each role of a VM when it starts. */
interface GatewayContext {
  readonly settings: GatewaySettings;
  /** Collects garbage early; undefined if the memory of the VM is not known. */
  readonly garbage: GarbageWatch | undefined;
  readonly identity: VmIdentity;
  readonly hub: VmHub;
  readonly log: Logger;
  readonly errors: ErrorBoundary;
  readonly listeners: ListenerGroup;
  /** Session addresses of the seeds; updated in place when the settings file is reloaded. */
  readonly seeds: string[];
}

export default GatewayContext;
