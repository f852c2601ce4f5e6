const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/**
 * Returns whether a method is idempotent as defined by RFC 9110.
 *
 * @param method - request method in upper case
 * @returns true if a request with this method may be sent more than once
 */
export default function isIdempotentMethod(method: string): boolean {
  return IDEMPOTENT_METHODS.has(method);
}
