import type Failure from '@guavayard/core/errors/Failure';
import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';

/** A request that waits for a target. */
interface PlacementRequest {
  readonly service: string;
  /** The only regions that may serve it; undefined if every region may. */
  readonly homeRegions: readonly string[] | undefined;
  /** Ids of the targets of earlier attempts. */
  readonly triedIds: readonly string[];
  /** Targets that it may be sent to beyond the share of this entry in their request limits. */
  readonly permittedIds: readonly string[];
  /** Whether it was chosen for the target version of a roll-out. */
  readonly isCanary: boolean;
  /** Priority; lower values are served first, starting at 0. */
  readonly priority: number;
  /** Time within which a response has its full value for the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Whether its body is too large to cross regions while a target in this region is alive. */
  readonly hasLargeBody: boolean;
  /** Its deadline, in milliseconds of the monotonic clock. */
  readonly deadlineMs: number;
  /** Whether another entry may be asked if targets cannot be reached, rather than waiting. */
  readonly mayRelay: boolean;
  /**
   * Called with the selected target. A slot on it is held for the request until `release` is
   * called, which receives the duration in milliseconds if the request was answered.
   */
  readonly onPlaced: (target: PlacedTarget, release: (durationMs?: number) => void) => void;
  /** Called if no target is found; the caller may retry after `retryAfterMs`. */
  readonly onRefused: (failure: Failure, retryAfterMs: number) => void;
}

export default PlacementRequest;
