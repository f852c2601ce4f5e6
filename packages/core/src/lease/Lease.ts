/** Configuration lease of an entry, as known to the leader. */
interface Lease<Holder> {
  readonly holder: Holder;
  /** Configuration version that the entry dispatches under, undefined while it holds none. */
  readonly heldVersion: number | undefined;
  /** When the lease expires on the leader's clock, in milliseconds. */
  readonly expiresAtMs: number;
}

export default Lease;
