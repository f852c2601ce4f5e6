const BYTES_PER_MB = 1e6;
/** Resident memory of an idle process, as measured on x86-64, with a margin of 10 MB. */
const PROCESS_MB = 120;
/** The rest is for bytes that are freed only at the next garbage collection. */
const HELD_SHARE = 0.5;
/** Least budget, with which a process with less memory than it needs serves at all. */
const MIN_BYTES = 8 * BYTES_PER_MB;
/** Budget without a setting: more than 10,000 connections and their bodies hold. */
const DEFAULT_BYTES = 2048 * BYTES_PER_MB;
/** Share of the descriptors for clients; targets, sessions and files get the rest. */
const CONNECTION_SHARE = 0.6;
const DEFAULT_CONNECTIONS = 10_000;

interface VmLimits {
  /** Memory of the VM, in megabytes. */
  readonly memoryMb?: number | undefined;
  /** Number of descriptors that the process may have open. */
  readonly maxFds?: number | undefined;
}

interface ResourceLimits {
  /** Bytes that the process may hold for its clients. */
  readonly bytes: number;
  /** Number of connections of clients. */
  readonly connections: number;
}

/**
 * Derives what a process may hold for its clients from the limits of its VM.
 *
 * @param limits - the limits that the settings state
 * @returns the budget; without limits, the default
 */
export default function deriveResourceLimits({ memoryMb, maxFds }: VmLimits): ResourceLimits {
  return {
    bytes: memoryMb === undefined
      ? DEFAULT_BYTES
      : Math.max(MIN_BYTES, (memoryMb - PROCESS_MB) * HELD_SHARE * BYTES_PER_MB),
    connections: maxFds === undefined
      ? DEFAULT_CONNECTIONS : Math.max(1, Math.floor(maxFds * CONNECTION_SHARE)),
  };
}
