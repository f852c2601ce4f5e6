import type Logger from 'bunyan';

import type VmHub from '@guavayard/vm/session/VmHub';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type GatewaySettings from '../settings/GatewaySettings';

/** What the roles of a VM are given when they start. */
interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly identity: VmIdentity;
  readonly hub: VmHub;
  readonly log: Logger;
  /** Addresses for sessions with the seeds; changes with the settings file. */
  readonly seeds: string[];
}

export default GatewayContext;
