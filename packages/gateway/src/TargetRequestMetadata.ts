/** Metadata of a request that is sent to a target. */
interface TargetRequestMetadata {
  /** Time after which nobody waits for the response any more, in milliseconds. */
  readonly remainingMs: number;
  /** The target that the request is meant for; another one at its address refuses it. */
  readonly targetId: string;
  /**
   * Tenant of the request, without a label if the request has none. The headers of the caller that
   * name a tenant or carry a key are dropped, unless the declaration has no tenants; then this is
   * absent.
   */
  readonly tenant?: { readonly label: string | undefined };
}

export default TargetRequestMetadata;
