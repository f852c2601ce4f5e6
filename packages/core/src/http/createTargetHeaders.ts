import forwardHeaders from './forwardHeaders';

/** Headers that each entry writes anew. */
const OWN_HEADERS = new Set(['guavayard-deadline-ms', 'guavayard-attempt']);

/**
 * Makes the headers of a request as they are sent to a target.
 *
 * @param rawHeaders - names and values in turn, as the caller sent them
 * @param remainingMs - time that is left until the deadline
 * @param attempt - number of the attempt, from 1
 * @returns names and values in turn
 */
export default function createTargetHeaders(
  rawHeaders: readonly string[],
  remainingMs: number,
  attempt: number,
): string[] {
  const forwarded = forwardHeaders(rawHeaders);
  const headers: string[] = [];
  for (let index = 0; index + 1 < forwarded.length; index += 2) {
    const name = forwarded[index] ?? '';
    if (!OWN_HEADERS.has(name.toLowerCase())) headers.push(name, forwarded[index + 1] ?? '');
  }
  const deadline = String(Math.max(1, Math.floor(remainingMs)));
  headers.push('guavayard-deadline-ms', deadline, 'guavayard-attempt', String(attempt));
  return headers;
}
