/** What another entry has told about one target. */
interface PeerLoad {
  readonly inFlight: number;
  /** Moment on the own monotonic clock at which it was told, in milliseconds. */
  readonly toldAtMs: number;
}

export default PeerLoad;
