import forwardHeaders from './forwardHeaders';

/**
 * Selects the headers of a request that go on, without some that the entry writes anew.
 *
 * @param rawHeaders - names and values in turn, as the caller sent them
 * @param replaced - the names that are left out, in lower case
 * @returns names and values in turn
 */
export default function selectForwardedHeaders(
  rawHeaders: readonly string[],
  replaced: ReadonlySet<string>,
): string[] {
  const forwarded = forwardHeaders(rawHeaders);
  const headers: string[] = [];
  for (let index = 0; index + 1 < forwarded.length; index += 2) {
    const name = forwarded[index] ?? '';
    if (!replaced.has(name.toLowerCase())) headers.push(name, forwarded[index + 1] ?? '');
  }
  return headers;
}
