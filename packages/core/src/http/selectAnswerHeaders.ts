import type AnswerHeaders from '../dispatch/AnswerHeaders';
import isHopByHopHeader from './isHopByHopHeader';

/** Headers in which targets report their load to the entries; not forwarded to callers. */
const INTERNAL_HEADERS = new Set(['guavayard-load']);

/**
 * Selects the response headers that are forwarded to the caller.
 *
 * @param headers - headers sent by the target, by lower-case name
 * @returns the headers without hop-by-hop headers, headers named in `connection` and internal ones
 */
export default function selectAnswerHeaders(headers: AnswerHeaders): AnswerHeaders {
  const connectionHeaders = new Set(String(headers.connection ?? '').toLowerCase().split(',')
    .map((name) => name.trim()));
  const selected = Object.entries(headers).filter(([name, value]) => (
    value !== undefined && !isHopByHopHeader(name) && !connectionHeaders.has(name)
    && !INTERNAL_HEADERS.has(name)
  ));
  return Object.fromEntries(selected);
}
