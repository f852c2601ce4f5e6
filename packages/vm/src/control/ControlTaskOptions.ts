import type ConsensusTaskOptions from './ConsensusTaskOptions';

/** What the control role is made of. */
interface ControlTaskOptions extends Omit<ConsensusTaskOptions, 'listener'> {
  readonly vmName: string;
  readonly log: { info: (fields: object, message: string) => void };
}

export default ControlTaskOptions;
