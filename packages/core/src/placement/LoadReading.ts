import type LoadFigures from './LoadFigures';

/** Load figures and when they were read. */
interface LoadReading extends LoadFigures {
  /** When the request that brought them was sent, in milliseconds. */
  readonly sentAtMs: number;
  readonly atMs: number;
}

export default LoadReading;
