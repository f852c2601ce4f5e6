import selectForwardedHeaders from './selectForwardedHeaders';

/** Headers that each entry writes anew. */
const OWN_HEADERS = new Set(['guavayard-deadline-ms', 'guavayard-attempt', 'guavayard-relay']);

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
  const deadline = String(Math.max(1, Math.floor(remainingMs)));
  return [
    ...selectForwardedHeaders(rawHeaders, OWN_HEADERS),
    'guavayard-deadline-ms',
    deadline,
    'guavayard-attempt',
    String(attempt),
  ];
}
