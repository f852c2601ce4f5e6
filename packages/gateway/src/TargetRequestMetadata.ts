/** Metadata of a request that is sent to a target. */
interface TargetRequestMetadata {
  /** Time after which nobody waits for the response any more, in milliseconds. */
  readonly remainingMs: number;
  /** The target that the request is meant for; another one at its address refuses it. */
  readonly targetId: string;
}

export default TargetRequestMetadata;
