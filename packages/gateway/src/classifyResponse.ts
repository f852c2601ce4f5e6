import type ResponseMetadata from './ResponseMetadata';

/** Classification of a response with respect to its request. */
type Verdict = 'answered' | 'failed' | 'not-run' | 'spoiled';

const FIRST_FAILURE_STATUS = 300;
const MISDIRECTED = 421;

/**
 * Classifies a target's response by its status and headers.
 *
 * - `answered`: a success that is the target's own
 * - `failed`: the target's own failure; the request may have run
 * - `not-run`: the target proves that it did not run the request
 * - `spoiled`: not a valid response to this request; the request may have run
 *
 * @param status - HTTP status
 * @param metadata - metadata read from the headers
 * @param requestId - id of the request
 * @returns the classification
 */
export default function classifyResponse(
  status: number,
  metadata: ResponseMetadata,
  requestId: string,
): Verdict {
  // Also a refusal must name the request: without an id it may be a copy of an earlier one.
  if (metadata.requestId !== requestId) return 'spoiled';
  if (metadata.isMarkedNotRun || status === MISDIRECTED) return 'not-run';
  if (metadata.isEncoded) return 'spoiled';
  if (status >= FIRST_FAILURE_STATUS) return 'failed';
  return metadata.isSigned ? 'answered' : 'spoiled';
}
