import type AnswerHeaders from '../dispatch/AnswerHeaders';

/** Longest answer that is held until it is complete, in bytes. */
const MAX_HELD_BYTES = 64 * 1024;
const STREAM_TYPE = 'text/event-stream';

/**
 * Tells whether an answer may be held until it is complete, by its headers.
 *
 * @param headers - headers of the answer, by lower-case name
 * @returns false for answers known to be long and for event streams
 */
export default function isHoldableAnswer(headers: AnswerHeaders): boolean {
  if (String(headers['content-type'] ?? '').startsWith(STREAM_TYPE)) return false;
  return Number(headers['content-length'] ?? 0) <= MAX_HELD_BYTES;
}
