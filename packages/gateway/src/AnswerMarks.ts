import type LoadFigures from '@guavayard/core/placement/LoadFigures';

/** What the headers of a target's answer say. */
interface AnswerMarks {
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the target vouches that it made the answer. */
  readonly isSigned: boolean;
  /** Whether the target says that it did not run the request. */
  readonly isMarkedNotRun: boolean;
  /** Whether the body was encoded on its way, so that it is not the target's body. */
  readonly isEncoded: boolean;
  readonly load: LoadFigures | undefined;
}

export default AnswerMarks;
