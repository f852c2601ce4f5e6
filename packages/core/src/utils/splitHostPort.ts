import type Endpoint from './Endpoint';

/**
 * Splits an address into IP number and port.
 *
 * @param address - as in `10.0.0.1:7400` or `[::1]:7400`
 * @returns its parts, without brackets
 */
export default function splitHostPort(address: string): Endpoint {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
