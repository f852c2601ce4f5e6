/** Layout of the frames between VMs. */
const frameLayout = {
  /** Size of the length prefix of each frame, in bytes. */
  headerBytes: 4,
  /** Added to the length of a frame whose body is compressed. */
  compressedFlag: 0x80000000,
  /** Minimum size of a compressed message, in bytes; smaller ones gain nothing per packet. */
  minCompressedBytes: 700,
} as const;

export default frameLayout;
