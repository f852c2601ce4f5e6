import type Failure from '@guavayard/core/errors/Failure';

import ProcessUnknownError from './ProcessUnknownError';

const MALFORMED_CODES = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED']);

/**
 * Maps an error of the HTTP client to a failure. Only an error raised before the request was
 * assigned a connection proves that the request did not run.
 *
 * @param err - error raised by the HTTP client
 * @param isConnected - whether the request had been assigned a connection
 * @returns the corresponding failure
 */
export default function describeSendError(
  err: Error & { code?: string },
  isConnected: boolean,
): Failure {
  const code = err.code ?? '';
  if (err instanceof ProcessUnknownError) {
    return { kind: 'targetUnreachable', detail: err.message, isUnsent: true };
  }
  if (isConnected) return { kind: 'targetFailed', detail: code === '' ? err.message : code };
  if (MALFORMED_CODES.has(code)) return { kind: 'malformedRequest', detail: err.message };
  return { kind: 'targetUnreachable', detail: code === '' ? err.message : code };
}
