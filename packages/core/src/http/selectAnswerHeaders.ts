import type AnswerHeaders from '../dispatch/AnswerHeaders';
import isHopByHop from './isHopByHop';

/** Headers by which targets tell their load to the entries; callers do not get them. */
const INTERNAL_HEADERS = new Set(['guavayard-load']);

/**
 * Selects the headers of an answer that go on to the caller.
 *
 * @param headers - headers as the target sent them, by lower-case name
 * @returns the same without those that belong to the target's connection
 */
export default function selectAnswerHeaders(headers: AnswerHeaders): AnswerHeaders {
  const ofConnection = new Set(String(headers.connection ?? '').toLowerCase().split(',')
    .map((name) => name.trim()));
  const selected = Object.entries(headers).filter(([name, value]) => (
    value !== undefined && !isHopByHop(name) && !ofConnection.has(name)
    && !INTERNAL_HEADERS.has(name)
  ));
  return Object.fromEntries(selected);
}
