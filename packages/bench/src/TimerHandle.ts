/** An action that the virtual clock runs at its time. */
interface TimerHandle {
  readonly atMs: number;
  /** Order of timers of the same time. */
  readonly sequence: number;
  /** Undefined once it has been cancelled or run. */
  action: (() => void) | undefined;
}

export default TimerHandle;
