const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Returns whether a header is hop-by-hop: it applies to a single connection and is not forwarded.
 *
 * @param name - header name in lower case
 * @returns true for hop-by-hop headers
 */
export default function isHopByHopHeader(name: string): boolean {
  return HOP_BY_HOP_HEADERS.has(name);
}
