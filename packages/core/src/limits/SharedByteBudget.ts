import ByteBudget from './ByteBudget';
import type HeldKind from './HeldKind';
import type ResourceAccount from './ResourceAccount';

/** A budget whose bytes also count in the account of the process. */
export default class SharedByteBudget extends ByteBudget {
  /**
   * @param limitBytes - maximum sum of the bytes reserved through this budget
   * @param account - account of the process
   * @param kind - what the bytes are held for
   */
  constructor(
    limitBytes: number,
    private readonly account: ResourceAccount,
    private readonly kind: HeldKind,
  ) {
    super(limitBytes);
  }

  /**
   * Reserves bytes if they fit into this budget and the account.
   *
   * @param bytes - number of bytes to reserve
   * @returns whether they are reserved
   */
  override tryReserve(bytes: number): boolean {
    if (!super.tryReserve(bytes)) return false;
    if (this.account.tryReserve(this.kind, bytes)) return true;
    super.release(bytes);
    return false;
  }

  /**
   * Returns bytes that were reserved.
   *
   * @param bytes - number of bytes to return
   */
  override release(bytes: number): void {
    super.release(bytes);
    this.account.release(this.kind, bytes);
  }
}
