import selectForwardedHeaders from './selectForwardedHeaders';

/** Headers that the relaying entry writes anew. */
const OWN_HEADERS = new Set(['guavayard-deadline-ms', 'guavayard-relay']);

/**
 * Makes the headers of a request as it is handed to another entry.
 *
 * @param rawHeaders - names and values in turn, as the caller sent them
 * @param remainingMs - time that is left until the deadline
 * @param relayHeader - proof that an entry handed the request on
 * @returns names and values in turn
 */
export default function createRelayHeaders(
  rawHeaders: readonly string[],
  remainingMs: number,
  relayHeader: string,
): string[] {
  const deadline = String(Math.max(1, Math.floor(remainingMs)));
  return [
    ...selectForwardedHeaders(rawHeaders, OWN_HEADERS),
    'guavayard-deadline-ms',
    deadline,
    'guavayard-relay',
    relayHeader,
  ];
}
