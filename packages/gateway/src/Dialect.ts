import type { IncomingMessage } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Failure from '@guavayard/core/errors/Failure';

import type ResponseMetadata from './ResponseMetadata';
import type FailureResponse from './FailureResponse';
import type ProbeMetadata from './ProbeMetadata';
import type RequestMetadata from './RequestMetadata';
import type TargetRequestMetadata from './TargetRequestMetadata';

/**
 * Translates between the headers of callers and targets and the types of this package. It makes no
 * decisions.
 */
interface Dialect {
  readRequest: (req: Pick<IncomingMessage, 'headers'>) => RequestMetadata;
  /**
   * Returns the keys that a request carries, one for each header, and an empty one for an empty
   * header. They must not be logged.
   *
   * @param rawHeaders - alternating names and values, as received from the caller
   */
  readKeys: (rawHeaders: readonly string[]) => string[];
  /**
   * Creates the headers of the request to the target.
   *
   * @param rawHeaders - alternating names and values, as received from the caller
   * @param metadata - what the target needs to know about the request
   * @returns alternating names and values, as sent to the target
   */
  createHeaders: (rawHeaders: readonly string[], metadata: TargetRequestMetadata) => string[];
  readResponse: (headers: AnswerHeaders) => ResponseMetadata;
  readProbe: (headers: AnswerHeaders) => ProbeMetadata;
  /**
   * Creates the response to a request that failed.
   *
   * @param failure - why the request failed
   * @param requestId - id of the request, if it has one
   * @param retryAfterMs - delay before the caller may retry, in milliseconds; undefined if a retry
   *   would not help
   * @returns the response for the caller
   */
  createFailureResponse: (
    failure: Failure,
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ) => FailureResponse;
}

export default Dialect;
