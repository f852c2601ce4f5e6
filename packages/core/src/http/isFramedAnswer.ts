import type AnswerHeaders from '../dispatch/AnswerHeaders';

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Tells whether the end of an answer can be told from a lost connection.
 *
 * @param method - method of the request, in upper case
 * @param status - status of the answer
 * @param headers - headers of the answer, by lower-case name
 * @returns true for an answer without a body, with a length or with a terminator
 */
export default function isFramedAnswer(
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
