import type CallerLimits from './CallerLimits';

/** Default limits for the callers of an entry. */
const defaultLimits: CallerLimits = {
  headerBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  checkIntervalMs: 1000,
  unreadMs: 60_000,
  connections: 10_000,
};

export default defaultLimits;
