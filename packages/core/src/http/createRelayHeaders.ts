import selectForwardedHeaders from './selectForwardedHeaders';

/** Headers that the relaying entry replaces. */
const REPLACED_HEADERS = new Set(['guavayard-deadline-ms', 'guavayard-relay']);

/**
 * Creates the headers of a request that is relayed to another entry.
 *
 * @param rawHeaders - alternating names and values, as sent by the caller
 * @param remainingMs - remaining time until the deadline, in milliseconds
 * @param relayHeader - value that proves that the request was relayed by an entry
 * @returns alternating names and values
 */
export default function createRelayHeaders(
  rawHeaders: readonly string[],
  remainingMs: number,
  relayHeader: string,
): string[] {
  const deadline = String(Math.max(1, Math.floor(remainingMs)));
  return [
    ...selectForwardedHeaders(rawHeaders, REPLACED_HEADERS),
    'guavayard-deadline-ms',
    deadline,
    'guavayard-relay',
    relayHeader,
  ];
}
