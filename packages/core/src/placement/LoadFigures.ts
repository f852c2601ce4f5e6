/** Load that a target reports about itself. */
interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current duration of work relative to the usual one; 1 if the target does not report it. */
  readonly slowness: number;
}

export default LoadFigures;
