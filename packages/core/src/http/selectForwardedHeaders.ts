import isHopByHop from './isHopByHop';

function findConnectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      rawHeaders[index + 1]?.split(',').forEach((name) => names.add(name.trim().toLowerCase()));
    }
  }
  return names;
}

/**
 * Selects the headers of a request that go on: without those of the caller's connection and
 * without some that the entry writes anew.
 *
 * @param rawHeaders - names and values in turn, as the caller sent them
 * @param replaced - the names that the entry writes anew, in lower case
 * @returns names and values in turn
 */
export default function selectForwardedHeaders(
  rawHeaders: readonly string[],
  replaced: ReadonlySet<string>,
): string[] {
  const ofConnection = findConnectionHeaders(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerName = name.toLowerCase();
    const isKept = !isHopByHop(lowerName)
      && !ofConnection.has(lowerName)
      && !replaced.has(lowerName);
    if (isKept) forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}
