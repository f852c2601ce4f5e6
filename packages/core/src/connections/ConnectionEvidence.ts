/** What an entry knows of new connections to targets. */
interface ConnectionEvidence {
  /** Addresses to which the last new connection failed. */
  readonly refusing: Set<string>;
  /** Addresses to which new connections failed since one to any address last worked. */
  readonly refusedInARow: Set<string>;
  /** When a new connection last failed, in milliseconds. */
  lastRefusalAtMs: number;
}

export default ConnectionEvidence;
