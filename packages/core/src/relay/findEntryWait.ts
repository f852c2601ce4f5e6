import AdmissionControl from '../placement/AdmissionControl';
import relayLimits from './relayLimits';

/**
 * Finds for how long a request may wait for another entry after none has taken it.
 *
 * Load pattern: most entries have lost their targets, and those that have not are being restarted.
 * A caller that is refused reaches a cut entry again as often as not, while the others are back
 * within a second, and agree on a new version within that time. Entries that are busy are
 * overloaded, and one that hears from no target either shows that it is not this entry alone: then
 * waiting helps nobody.
 *
 * @param reason - why the entries have not taken it
 * @param targetLatencyMs - latency up to which a response has its full value, in milliseconds
 * @param remainingMs - time from its arrival to its deadline, in milliseconds
 * @returns the longest time from its arrival, in milliseconds; 0 if it should be refused at once
 */
export default function findEntryWait(
  reason: string,
  targetLatencyMs: number,
  remainingMs: number,
): number {
  if (reason === 'unreachable' || reason === 'no entry') return 0;
  if (reason === 'busy') return AdmissionControl.longestWaitMs({ targetLatencyMs, remainingMs });
  return remainingMs * relayLimits.waitShare;
}
