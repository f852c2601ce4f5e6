const HOP_BY_HOP = new Set([
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
 * Tells whether a header belongs to one connection and is not forwarded.
 *
 * @param name - header name in lower case
 * @returns true for the connection's own headers
 */
export default function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}
