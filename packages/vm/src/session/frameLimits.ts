const KIB = 1024;
const MIB = 1024 * KIB;

/** Limits on the bytes that a VM accepts from other VMs. */
const frameLimits = {
  /**
   * Maximum size of a frame before the peer has proved that it knows the key, in bytes. Such frames
   * are never compressed.
   */
  handshakeBytes: KIB,
  /** Maximum size of a message, in bytes, of the kinds that are not in `messageBytes`. */
  defaultMessageBytes: 64 * KIB,
  /** Maximum size of a message by its kind, in bytes. */
  messageBytes: {
    consensus: 64 * MIB,
    controlCall: 16 * MIB,
    controlAnswer: 16 * MIB,
    registryView: 16 * MIB,
    registryUpdate: 16 * MIB,
    configuration: 16 * MIB,
    leaseGrant: 16 * MIB,
    keyCopy: 16 * MIB,
    targetsHeld: 16 * MIB,
    targetsChanged: 16 * MIB,
    'status-report': 4 * MIB,
    'counts-report': 4 * MIB,
    presence: 4 * MIB,
    roster: 4 * MIB,
    membership: MIB,
    keyBackup: MIB,
    keyClaim: MIB,
    keyDecision: MIB,
    keyOutcome: MIB,
    load: MIB,
    requestLimits: MIB,
    targetsReleased: MIB,
  } as Readonly<Record<string, number>>,
  /** Maximum size of a frame between two control VMs, in bytes. */
  controlFrameBytes: 64 * MIB,
  /** Maximum size of a frame between other VMs, in bytes. */
  entryFrameBytes: 16 * MIB,
  /** Maximum sum of the incomplete frames of all sessions of a VM, in bytes. */
  pendingBytes: 96 * MIB,
  /** Maximum number of sessions whose handshake is not complete. */
  pendingHandshakes: 1024,
} as const;

export default frameLimits;
