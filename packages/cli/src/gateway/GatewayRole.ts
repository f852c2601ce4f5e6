/** A running role of a VM. */
interface GatewayRole {
  /** Finishes what is under way; the process ends afterwards. */
  stop: () => Promise<void>;
}

export default GatewayRole;
