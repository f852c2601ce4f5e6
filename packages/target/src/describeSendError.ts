import type Failure from '@guavayard/core/errors/Failure';

const MALFORMED_CODES = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

/**
 * Maps an error of the HTTP client to a failure. Only an error that comes before a connection
 * was given to the request proves that the request was not run.
 *
 * @param err - error of the client
 * @param isConnected - whether a connection had been given to the request
 * @returns the failure
 */
export default function describeSendError(
  err: Error & { code?: string },
  isConnected: boolean,
): Failure {
  const code = err.code ?? '';
  if (isConnected) return { kind: 'targetFailed', detail: code === '' ? err.message : code };
  if (MALFORMED_CODES.has(code)) return { kind: 'malformedRequest', detail: err.message };
  return { kind: 'targetUnreachable', detail: code === '' ? err.message : code };
}
