import type AnswerHeaders from '../dispatch/AnswerHeaders';

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Returns whether the end of a response can be distinguished from a lost connection.
 *
 * @param method - request method in upper case
 * @param status - HTTP status of the response
 * @param headers - response headers by lower-case name
 * @returns true for a response that has no body, a `content-length` or chunked encoding
 */
export default function isFramedResponse(
  method: string,
  status: number,
  headers: AnswerHeaders,
): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true;
  if (headers['transfer-encoding'] !== undefined) {
    return String(headers['transfer-encoding']).toLowerCase() === 'chunked';
  }
  return headers['content-length'] !== undefined;
}
