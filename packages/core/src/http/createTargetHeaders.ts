import selectForwardedHeaders from './selectForwardedHeaders';

/** Headers that each entry replaces. */
const REPLACED_HEADERS = new Set(['guavayard-deadline-ms', 'guavayard-attempt', 'guavayard-relay']);

/**
 * Creates the headers of a request that is sent to a target.
 *
 * @param rawHeaders - alternating names and values, as sent by the caller
 * @param remainingMs - remaining time until the deadline, in milliseconds
 * @param attempt - number of the attempt, starting at 1
 * @returns alternating names and values
 */
export default function createTargetHeaders(
  rawHeaders: readonly string[],
  remainingMs: number,
  attempt: number,
): string[] {
  const deadline = String(Math.max(1, Math.floor(remainingMs)));
  return [
    ...selectForwardedHeaders(rawHeaders, REPLACED_HEADERS),
    'guavayard-deadline-ms',
    deadline,
    'guavayard-attempt',
    String(attempt),
  ];
}
