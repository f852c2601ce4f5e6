import type Failure from '@guavayard/core/errors/Failure';

const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Maps an error of the HTTP client to a failure. Only errors that come before a connection
 * exists prove that the request was not run.
 *
 * @param err - error of the client
 * @returns the failure
 */
export default function describeSendError(err: Error & { code?: string }): Failure {
  const code = err.code ?? '';
  const kind = NOT_CONNECTED_CODES.has(code) ? 'targetUnreachable' : 'targetFailed';
  return { kind, detail: code === '' ? err.message : code };
}
