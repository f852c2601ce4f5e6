import isHopByHopHeader from './isHopByHopHeader';

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
 * Selects the request headers that are forwarded: all but hop-by-hop headers, headers named in
 * `connection` and headers that the entry replaces.
 *
 * @param rawHeaders - alternating names and values, as sent by the caller
 * @param replaced - names of the headers that the entry replaces, in lower case
 * @returns alternating names and values
 */
export default function selectForwardedHeaders(
  rawHeaders: readonly string[],
  replaced: ReadonlySet<string>,
): string[] {
  const connectionHeaders = findConnectionHeaders(rawHeaders);
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerName = name.toLowerCase();
    const isForwarded = !isHopByHopHeader(lowerName)
      && !connectionHeaders.has(lowerName)
      && !replaced.has(lowerName);
    if (isForwarded) forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}
