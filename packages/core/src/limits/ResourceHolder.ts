/** Something that holds resources of a process and can be made to give them back. */
interface ResourceHolder {
  /** Bytes that it holds now. */
  readonly heldBytes: number;

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the time for which its client has done nothing, in milliseconds; undefined if the
   *   process does not wait for the client
   */
  readonly idleMs: (nowMs: number) => number | undefined;

  /** Ends it at once; its bytes are returned before this returns. */
  readonly evict: () => void;
}

export default ResourceHolder;
