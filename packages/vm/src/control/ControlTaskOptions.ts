import type Logger from 'bunyan';

import type ConsensusTaskOptions from './ConsensusTaskOptions';

/** What the control role is made of. */
interface ControlTaskOptions extends Omit<ConsensusTaskOptions, 'listener'> {
  readonly vmName: string;
  readonly log: Pick<Logger, 'info' | 'warn' | 'error'>;
}

export default ControlTaskOptions;
