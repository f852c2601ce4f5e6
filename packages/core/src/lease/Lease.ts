/** The lease of one entry as the leader knows it. */
interface Lease<Holder> {
  readonly holder: Holder;
  /** Version that the entry dispatches under, undefined while it holds none. */
  readonly heldVersion: number | undefined;
  /** When it has lapsed on the leader's clock, in milliseconds. */
  readonly lapsesAtMs: number;
}

export default Lease;
