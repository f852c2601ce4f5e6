/** Load of one target as last reported by another entry. */
interface PeerLoad {
  readonly inFlight: number;
  /** Time of arrival of the report on the local monotonic clock, in milliseconds. */
  readonly receivedAtMs: number;
}

export default PeerLoad;
