/** In-flight count of one target as encoded in load reports between entries. */
interface PackedLoad {
  /** Hash of the target's id, from `hashTargetId`. */
  readonly hash: number;
  readonly inFlight: number;
}

export default PackedLoad;
