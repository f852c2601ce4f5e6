/** Bounds the bytes that all users of a budget hold at the same time. */
export default class ByteBudget {
  private reservedBytes = 0;

  /**
   * @param limitBytes - maximum sum of the reserved bytes
   */
  constructor(private readonly limitBytes: number) {}

  /** Sum of the reserved bytes. */
  get usedBytes(): number {
    return this.reservedBytes;
  }

  /**
   * Reserves bytes if they fit.
   *
   * @param bytes - number of bytes to reserve
   * @returns whether they are reserved
   */
  tryReserve(bytes: number): boolean {
    if (this.reservedBytes + bytes > this.limitBytes) return false;
    this.reservedBytes += bytes;
    return true;
  }

  /**
   * Returns bytes that were reserved.
   *
   * @param bytes - number of bytes to return
   */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
