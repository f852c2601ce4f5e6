import type SubsetTarget from './SubsetTarget';

/**
 * Divides the connection limit of a target evenly between the entries that use it.
 *
 * @param target - the target
 * @param userCount - number of entries that use it
 * @returns the maximum number of connections for each of them, at least 1
 */
export default function calculateConnectionShare(
  target: Pick<SubsetTarget, 'connectionLimit'>,
  userCount: number,
): number {
  return Math.max(1, Math.floor(target.connectionLimit / Math.max(1, userCount)));
}
