import type Logger from 'bunyan';

import type SessionTransport from './SessionTransport';
import type VmSession from './VmSession';

/** Options of the sessions of a VM. */
interface HubOptions {
  /** Carries the sessions; TCP by default. */
  readonly transport?: SessionTransport;
  /** Receives a line for each control VM that is gained or lost. */
  readonly log?: Pick<Logger, 'info'>;
  /** Receives the unexpected exceptions of handlers. */
  readonly onError?: (err: Error, session: VmSession) => void;
}

export default HubOptions;
