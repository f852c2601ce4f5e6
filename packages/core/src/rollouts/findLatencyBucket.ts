import latencyBoundsMs from './latencyBoundsMs';

/**
 * @param durationMs - time from sending a request to the end of the response, in milliseconds
 * @returns the index of its latency bucket; the last one has no upper bound
 */
export default function findLatencyBucket(durationMs: number): number {
  const index = latencyBoundsMs.findIndex((boundMs) => durationMs <= boundMs);
  return index < 0 ? latencyBoundsMs.length : index;
}
