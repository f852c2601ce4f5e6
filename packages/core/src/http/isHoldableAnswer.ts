import type AnswerHeaders from '../dispatch/AnswerHeaders';

/** Maximum size of a response that is buffered until it is complete, in bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;
const EVENT_STREAM_TYPE = 'text/event-stream';

/**
 * Returns whether a response may be buffered until it is complete, according to its headers.
 *
 * @param headers - response headers by lower-case name
 * @returns false for event streams and for responses whose declared length exceeds the buffer limit
 */
export default function isHoldableAnswer(headers: AnswerHeaders): boolean {
  if (String(headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)) return false;
  return Number(headers['content-length'] ?? 0) <= MAX_BUFFERED_BYTES;
}
