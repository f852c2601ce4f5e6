const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/**
 * Tells whether a method may be repeated by its definition (RFC 9110).
 *
 * @param method - method of the request, in upper case
 * @returns true for idempotent methods
 */
export default function isIdempotentMethod(method: string): boolean {
  return IDEMPOTENT_METHODS.has(method);
}
