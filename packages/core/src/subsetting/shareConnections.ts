import type SubsetTarget from './SubsetTarget';

/**
 * Shares a target's connections evenly over the entries that use it.
 *
 * @param target - the target
 * @param userCount - entries that use it
 * @returns the connections that one of them may have
 */
export default function shareConnections(target: SubsetTarget, userCount: number): number {
  return Math.max(1, Math.floor(target.connectionLimit / Math.max(1, userCount)));
}
