import hashText from '../idempotency/hashText';

/** Properties that stay the same when a caller resends a request. */
interface RepeatedRequest {
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Declared length of the body in bytes (`content-length`); undefined if not declared. */
  readonly bodyLength: string | undefined;
}

/**
 * Creates a fingerprint that identifies a request without containing any of its data. Fingerprints
 * are shared between entries, including those outside the home regions that the request itself
 * must not leave. The body is represented by its length only, because it is not read before the
 * request is sent.
 *
 * @param request - the properties that identify the request
 * @returns two 32-bit hashes in hexadecimal
 */
export default function createFingerprint(request: RepeatedRequest): string {
  const {
    caller, method, host, path, bodyLength = '',
  } = request;
  const text = [caller, method, host, path, bodyLength].join('\n');
  return `${hashText(text).toString(16)}-${hashText(`${text}\n`).toString(16)}`;
}
