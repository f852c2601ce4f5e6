import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

import type TimerHandle from './TimerHandle';

/** A request that is queued or running at a fake target. */
interface FakeExecution {
  readonly workMs: number;
  readonly onDone: (result: AttemptResult) => void;
  /** Start time in milliseconds; undefined while the request waits for a slot. */
  startedAtMs: number | undefined;
  timer: TimerHandle | undefined;
}

export default FakeExecution;
