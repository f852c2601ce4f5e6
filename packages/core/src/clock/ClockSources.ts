/** The clocks of one VM, in milliseconds. */
interface ClockSources {
  /** Never steps, but stands still while the VM is suspended. */
  readonly steadyMs: () => number;
  /** Counts suspends, but may step. */
  readonly timeOfDayMs: () => number;
  /** Never steps and counts suspends, but is slow to read. */
  readonly uptimeMs: () => number;
}

export default ClockSources;
