/** A timer of the virtual clock. */
interface TimerHandle {
  readonly atMs: number;
  /** Orders timers that are due at the same time. */
  readonly sequence: number;
  /** The callback; undefined once the timer has run or been cancelled. */
  action: (() => void) | undefined;
}

export default TimerHandle;
