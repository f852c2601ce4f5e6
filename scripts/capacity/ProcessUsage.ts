/** Resource usage of a process since its start. */
interface ProcessUsage {
  /** CPU time, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in bytes. */
  readonly memoryBytes: number;
}

export default ProcessUsage;
