import type Logger from 'bunyan';

import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type Settings from '../settings/Settings';

/** What every role is given when it starts. */
interface RunContext {
  readonly settings: Settings;
  readonly identity: VmIdentity;
  /** Key shared by all VMs. */
  readonly key: string;
  readonly log: Logger;
}

export default RunContext;
