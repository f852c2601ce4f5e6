/** Layout of the frames between VMs. */
const frameLayout = {
  /** Bytes of the length that stands before each frame. */
  headerBytes: 4,
  /** Added to the length of a frame whose body is compressed. */
  compressedFlag: 0x80000000,
  /** Longest frame that a peer may send, before and after decompression, in bytes. */
  maxFrameBytes: 64 * 1024 * 1024,
  /** Shortest message that is compressed, in bytes: below, the gain is lost in the packet. */
  minCompressedBytes: 700,
} as const;

export default frameLayout;
