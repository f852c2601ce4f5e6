import type { IncomingHttpHeaders } from 'node:http';

/** Headers of which only the first counts, as in Node's parser. */
const SINGLE = new Set(['host', 'content-length', 'content-type', 'authorization']);

/**
 * Joins the headers of a request by name, as Node's parser does.
 *
 * @param rawHeaders - alternating names and values
 * @returns the headers by lower-case name
 */
export default function joinRawHeaders(rawHeaders: readonly string[]): IncomingHttpHeaders {
  const headers = new Map<string, string>();
  rawHeaders.forEach((raw, index) => {
    if (index % 2 === 1) return;
    const name = raw.toLowerCase();
    const value = rawHeaders[index + 1] ?? '';
    const known = headers.get(name);
    if (known === undefined) headers.set(name, value);
    else if (!SINGLE.has(name)) headers.set(name, `${known}, ${value}`);
  });
  return Object.fromEntries(headers);
}
