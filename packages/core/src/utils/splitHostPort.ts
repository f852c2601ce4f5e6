import type Endpoint from './Endpoint';

/**
 * Splits an address into IP address and port.
 *
 * @param address - address such as `10.0.0.1:7400` or `[::1]:7400`
 * @returns the IP address without brackets, and the port
 */
export default function splitHostPort(address: string): Endpoint {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
