import type Logger from 'bunyan';

import type ConsensusTaskOptions from './ConsensusTaskOptions';

type WriteReports = Pick<ConsensusTaskOptions, 'onWriteFailure' | 'onWriteRecovery' | 'onSlowWrites'>;

/**
 * Reports writes to the log of a replica that fail or are slow.
 *
 * @param log - the log of the VM
 * @returns the callbacks of the replica
 */
export default function createWriteReports(log: Pick<Logger, 'info' | 'warn' | 'error'>): WriteReports {
  return {
    onWriteFailure: (err) => log.error({ err }, 'the data folder cannot be written; trying again'),
    onWriteRecovery: (failedMs) => log.info({ failedMs: Math.round(failedMs) }, 'the data folder is written again'),
    onSlowWrites: (slow) => log.warn(slow, 'writes to the data folder are slow'),
  };
}
