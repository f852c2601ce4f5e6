/** Topology and services of one user's deployment. */
interface UserProfile {
  readonly name: string;
  readonly regions: readonly string[];
  readonly dataCentresPerRegion: number;
  readonly entriesPerDataCentre: number;
  /** Concurrent requests per target. */
  readonly slots: number;
  /** One-way latency between data centres of a region, in milliseconds. */
  readonly regionLatencyMs: number;
  /** One-way latency between regions, in milliseconds. */
  readonly remoteLatencyMs: number;
  readonly services: readonly ServiceProfile[];
}

interface ServiceProfile {
  readonly name: string;
  readonly instances: number;
  /** Share of its requests that are idempotent. */
  readonly idempotentShare: number;
}

export default UserProfile;
