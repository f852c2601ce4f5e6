import type Failure from '@guavayard/core/errors/Failure';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

/** A request that needs a target. */
interface PlacementRequest {
  readonly service: string;
  /** The only regions that may serve it; undefined where every region may. */
  readonly homeRegions: readonly string[] | undefined;
  /** Targets that it was sent to before. */
  readonly triedIds: readonly string[];
  /** Rank among requests; 0 goes first. */
  readonly priority: number;
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Whether its body is too large to be sent over a link between regions without need. */
  readonly isBulky: boolean;
  /** When its time is over, in milliseconds of the monotonic clock. */
  readonly deadlineMs: number;
  /**
   * A slot on a target is held for the request until `release`, which is given the duration if
   * the request was answered.
   */
  readonly onPlaced: (target: PlacedTarget, release: (durationMs?: number) => void) => void;
  readonly onRefused: (failure: Failure, retryAfterMs: number) => void;
}

export default PlacementRequest;
