import type AnswerHeaders from '@guavayard/core/dispatch/AnswerHeaders';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

import type classifyResponse from './classifyResponse';

/** The state of one attempt to serve a request on one target. */
interface Attempt {
  readonly target: PlacedTarget;
  readonly startedAtMs: number;
  /** Whether it was sent beside another attempt that was late. */
  readonly isHedge: boolean;
  /** Load of the target when it was selected; undefined if it had not reported any. */
  readonly load: number | undefined;
  readonly slowness: number | undefined;
  readonly loadAgeMs: number | undefined;
  /** Whether the target had left a probe unanswered when it was selected. */
  readonly wasSilent: boolean;
  /** Whether it was sent on a connection that had not carried a response. */
  readonly isNewConnection: boolean;
  /** How long this entry took the target to stay cold, in milliseconds. */
  readonly coldLeftMs: number;
  /** Frees the slot; receives the duration if the request was answered. */
  readonly release: (durationMs?: number) => void;
  /** The exchange with the target; undefined before it starts and after it has ended. */
  dispatch: Dispatch | undefined;
  /** When a connection took it, so that its target may have received it; undefined before. */
  writtenAtMs: number | undefined;
  status: number | undefined;
  headers: AnswerHeaders;
  verdict: ReturnType<typeof classifyResponse> | undefined;
  /** Chunks of the response body, buffered until the response is complete. */
  bufferedChunks: Buffer[];
  bufferedBytes: number;
  /** Whether the response is streamed to the caller instead of being buffered. */
  isForwarding: boolean;
  /** Whether this entry aborted the attempt. */
  isAborted: boolean;
  /** Whether another attempt was answered first. */
  isSuperseded: boolean;
  isOver: boolean;
}

export default Attempt;
