import type SchedulingOptions from './SchedulingOptions';

/** Default options of the scheduler; see docs/operations/tuning.md. */
const defaultOptions: SchedulingOptions = {
  sharingBytesPerSecond: 11_800,
  sharingBurstBytes: 300,
  sharingUrgentIntervalMs: 5,
  sharingIdleIntervalMs: 25,
  targetQueue: 1,
  reportDecayMs: 20,
  slownessDecayMs: 100,
  queueLimit: 256,
  roundTripMs: { 'data-centre': 0.3, region: 1, remote: 17 },
  affinityWeight: 0.1,
  randomWeight: 0,
  retryShare: 0.1,
  hedgeShare: 0.05,
  remoteBytesPerSecond: 2_000_000,
};

export default defaultOptions;
