import type AttemptResult from '@guavayard/core/scheduling/AttemptResult';

import type TimerHandle from './TimerHandle';

/** One request at a fake target. */
interface FakeExecution {
  readonly workMs: number;
  readonly onDone: (result: AttemptResult) => void;
  /** Undefined while it waits for a slot. */
  startedAtMs: number | undefined;
  timer: TimerHandle | undefined;
}

export default FakeExecution;
