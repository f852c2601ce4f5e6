import type LoadFigures from './LoadFigures';

/** Load figures with the times of their request and their arrival. */
interface LoadReading extends LoadFigures {
  /** When the request whose response carried them was sent, in milliseconds. */
  readonly sentAtMs: number;
  readonly atMs: number;
}

export default LoadReading;
