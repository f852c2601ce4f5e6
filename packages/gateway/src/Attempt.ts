import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type judgeAnswer from './judgeAnswer';

/** One attempt of a request at one target. */
interface Attempt {
  readonly target: PlacedTarget;
  readonly startedAtMs: number;
  /** Load of the target when it was chosen, undefined if it had told nothing. */
  readonly load: number | undefined;
  readonly slowness: number | undefined;
  readonly loadAgeMs: number | undefined;
  /** Frees the slot; given the duration if the request was answered. */
  readonly release: (durationMs?: number) => void;
  status: number | undefined;
  headers: AnswerHeaders;
  verdict: ReturnType<typeof judgeAnswer> | undefined;
  /** Parts of the answer that are held back until it is whole. */
  held: Buffer[];
  heldBytes: number;
  /** Whether the answer is passed on as it comes. */
  isForwarding: boolean;
  /** Whether this entry gave the attempt up. */
  isAborted: boolean;
  isOver: boolean;
}

export default Attempt;
