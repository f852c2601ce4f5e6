import rankMember from '../ownership/rankMember';
import type SubsetTarget from './SubsetTarget';

/** Fewest connections from one entry that are worth keeping to a target. */
const MIN_CONNECTIONS = 2;
/** Minimum number of targets of a service for each entry, if the service has as many. */
const MIN_TARGETS = 2;

function chooseUsers(target: SubsetTarget, entryNames: readonly string[]): Set<string> {
  const perEntry = Math.max(MIN_CONNECTIONS, target.slots);
  const count = Math.max(1, Math.floor(target.connectionLimit / perEntry));
  if (entryNames.length <= count) return new Set(entryNames);
  const ranked = entryNames
    .map((name) => ({ name, rank: rankMember(target.id, name) }))
    .sort((left, right) => right.rank - left.rank || (left.name < right.name ? -1 : 1));
  return new Set(ranked.slice(0, count).map(({ name }) => name));
}

function ensureMinTargets(
  entryName: string,
  targets: readonly SubsetTarget[],
  users: ReadonlyMap<string, Set<string>>,
): void {
  const isUser = (target: SubsetTarget): boolean => users.get(target.id)?.has(entryName) ?? false;
  const missing = Math.min(MIN_TARGETS, targets.length) - targets.filter(isUser).length;
  if (missing <= 0) return;
  const hasSpareConnections = ({ id, connectionLimit }: SubsetTarget): boolean => (
    (users.get(id)?.size ?? 0) < connectionLimit
  );
  targets
    .filter((target) => !isUser(target) && hasSpareConnections(target))
    .sort((left, right) => rankMember(right.id, entryName) - rankMember(left.id, entryName))
    .slice(0, missing)
    .forEach((target) => users.get(target.id)?.add(entryName));
}

/**
 * Assigns to each target of a service the entries that keep connections to it: all entries while
 * its connection limit allows enough connections for each, otherwise those of highest rank
 * (rendezvous hashing). Every entry computes the same assignment, and adding or removing an entry
 * or a target changes little else.
 *
 * @param targets - the targets of one service
 * @param entryNames - names of all entries
 * @returns the names of the entries that use each target, by the target's id
 */
export default function assignSubsets(
  targets: readonly SubsetTarget[],
  entryNames: readonly string[],
): Map<string, Set<string>> {
  const users = new Map(targets.map((target) => [target.id, chooseUsers(target, entryNames)]));
  [...entryNames].sort().forEach((entryName) => ensureMinTargets(entryName, targets, users));
  return users;
}
