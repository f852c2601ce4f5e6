import type { IncomingMessage } from 'node:http';

import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Failure from '@guavayard/core/errors/Failure';

import type AnswerMarks from './AnswerMarks';
import type FailureAnswer from './FailureAnswer';
import type ProbeMarks from './ProbeMarks';
import type RequestTerms from './RequestTerms';
import type SendTerms from './SendTerms';

/** How callers and targets name things in their headers. It translates and decides nothing. */
interface Dialect {
  readRequest: (req: IncomingMessage) => RequestTerms;
  /**
   * @param rawHeaders - names and values in turn, as the caller sent them
   * @param terms - what the target is told
   * @returns names and values in turn, as they are sent to the target
   */
  createHeaders: (rawHeaders: readonly string[], terms: SendTerms) => string[];
  readAnswer: (headers: AnswerHeaders) => AnswerMarks;
  readProbe: (headers: AnswerHeaders) => ProbeMarks;
  /**
   * @param failure - the failure
   * @param requestId - id of the request, if it has one
   * @param retryAfterMs - when the caller may come back; undefined if that would not help
   * @returns the answer
   */
  createFailure: (
    failure: Failure,
    requestId: string | undefined,
    retryAfterMs: number | undefined,
  ) => FailureAnswer;
}

export default Dialect;
