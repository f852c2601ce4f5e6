import hashText from '../idempotency/hashText';

/** What a caller repeats when it sends the same request again. */
interface RepeatedRequest {
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Length of the body in bytes, as the caller declared it; undefined if it did not. */
  readonly bodyLength: string | undefined;
}

/**
 * Tells a request from others without holding any of it: only hashes leave the entry, also where
 * the request itself may not leave its home regions. The length stands for the body, which is not
 * read before the request is sent.
 *
 * @param request - the request
 * @returns the fingerprint
 */
export default function createFingerprint(request: RepeatedRequest): string {
  const {
    caller, method, host, path, bodyLength = '',
  } = request;
  const text = [caller, method, host, path, bodyLength].join('\n');
  return `${hashText(text).toString(16)}-${hashText(`${text}\n`).toString(16)}`;
}
