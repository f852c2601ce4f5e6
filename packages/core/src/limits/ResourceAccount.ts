import type Clock from '../types/Clock';
import type HeldKind from './HeldKind';
import type ResourceHolder from './ResourceHolder';

/** Time without activity of its client after which a holder may be evicted, in milliseconds. */
const MIN_IDLE_MS = 500;

/** Number of reservations in a series. */
const SERIES = 64;

/**
 * Counts the bytes that a process holds for its clients, by kind. When the limit is reached, the
 * largest and most idle holder is evicted first.
 */
export default class ResourceAccount {
  private readonly held = new Map<HeldKind, number>();

  private readonly holders = new Set<ResourceHolder>();

  private sumBytes = 0;

  private reservations = 0;

  private evictions = 0;

  private refusals = 0;

  /**
   * @param limitBytes - maximum sum of the bytes held
   * @param clock - monotonic clock, in milliseconds
   * @param onReservations - called once after each series of reservations
   */
  constructor(
    readonly limitBytes: number,
    private readonly clock: Clock,
    private readonly onReservations: () => void = () => undefined,
  ) {}

  /** Sum of the bytes held. */
  get usedBytes(): number {
    return this.sumBytes;
  }

  /** Number of holders that were evicted. */
  get evictedCount(): number {
    return this.evictions;
  }

  /** Number of reservations that were refused. */
  get refusedCount(): number {
    return this.refusals;
  }

  /** @returns the bytes held, by kind */
  listHeld(): [HeldKind, number][] {
    return [...this.held];
  }

  /**
   * Reserves bytes, and evicts idle holders if they do not fit.
   *
   * @param kind - what they are held for
   * @param bytes - number of bytes
   * @returns whether they are reserved
   */
  tryReserve(kind: HeldKind, bytes: number): boolean {
    this.reservations += 1;
    if (this.reservations % SERIES === 0) this.onReservations();
    while (this.sumBytes + bytes > this.limitBytes) {
      if (!this.evictOne()) {
        this.refusals += 1;
        return false;
      }
    }
    this.add(kind, bytes);
    return true;
  }

  /**
   * Returns bytes that were reserved.
   *
   * @param kind - what they were held for
   * @param bytes - number of bytes
   */
  release(kind: HeldKind, bytes: number): void {
    this.add(kind, -bytes);
  }

  /** Adds a holder that may be evicted. */
  addHolder(holder: ResourceHolder): void {
    this.holders.add(holder);
  }

  /** Removes a holder that has ended. */
  removeHolder(holder: ResourceHolder): void {
    this.holders.delete(holder);
  }

  /**
   * Evicts the holder with the largest product of bytes and idle time.
   *
   * @returns false if no holder is idle
   */
  evictOne(): boolean {
    const nowMs = this.clock();
    let worst: ResourceHolder | undefined;
    let worstScore = 0;
    this.holders.forEach((holder) => {
      const idleMs = holder.idleMs(nowMs) ?? 0;
      const score = idleMs < MIN_IDLE_MS ? 0 : holder.heldBytes * idleMs;
      if (score <= worstScore) return;
      worst = holder;
      worstScore = score;
    });
    if (worst === undefined) return false;
    this.holders.delete(worst);
    this.evictions += 1;
    worst.evict();
    return true;
  }

  private add(kind: HeldKind, bytes: number): void {
    this.sumBytes += bytes;
    this.held.set(kind, (this.held.get(kind) ?? 0) + bytes);
  }
}
