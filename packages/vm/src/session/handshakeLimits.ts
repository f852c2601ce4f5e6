/** Sizes and times of the handshake. */
const handshakeLimits = {
  nonceBytes: 16,
  proofBytes: 32,
  /** Longest time from connecting until both sides have proved that they know the key, in ms. */
  timeoutMs: 1500,
} as const;

export default handshakeLimits;
