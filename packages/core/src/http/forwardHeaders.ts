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
 * Selects the headers of a request that go on to the target.
 *
 * @param rawHeaders - names and values in turn, as they arrived
 * @returns the same without those that belong to the caller's connection
 */
export default function forwardHeaders(rawHeaders: readonly string[]): string[] {
  const ofConnection = findConnectionHeaders(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerName = name.toLowerCase();
    if (!isHopByHop(lowerName) && !ofConnection.has(lowerName)) {
      forwarded.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return forwarded;
}
