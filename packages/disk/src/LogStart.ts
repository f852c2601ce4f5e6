import type SyncMark from './SyncMark';

/** Start of a log, which tells it from the logs that it has replaced. */
type LogStart = Pick<SyncMark, 'initialBytes' | 'initialChecksum'>;

export default LogStart;
