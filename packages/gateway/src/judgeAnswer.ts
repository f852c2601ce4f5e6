import type AnswerMarks from './AnswerMarks';

/** What an answer means for its request. */
type Verdict = 'answered' | 'failed' | 'not-run' | 'spoiled';

const FIRST_FAILURE_STATUS = 300;
const MISDIRECTED = 421;

/**
 * Tells what the head of a target's answer means.
 *
 * - `answered`: a success that is the target's own
 * - `failed`: the target's own failure; the request may have run
 * - `not-run`: the target proves that it did not run the request
 * - `spoiled`: not the answer to this request; the request may have run
 *
 * @param status - HTTP status
 * @param marks - what the headers say
 * @param requestId - id of the request
 * @returns the verdict
 */
export default function judgeAnswer(
  status: number,
  marks: AnswerMarks,
  requestId: string,
): Verdict {
  if (marks.requestId !== undefined && marks.requestId !== requestId) return 'spoiled';
  if (marks.isMarkedNotRun || status === MISDIRECTED) return 'not-run';
  if (marks.requestId === undefined || marks.isEncoded) return 'spoiled';
  if (status >= FIRST_FAILURE_STATUS) return 'failed';
  return marks.isSigned ? 'answered' : 'spoiled';
}
