/** Load of a target as it told it itself. */
interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment relative to usual; 1 if the target does not tell. */
  readonly slowness: number;
}

export default LoadFigures;
