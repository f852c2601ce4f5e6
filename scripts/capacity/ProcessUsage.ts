/** What a process has used up to now. */
interface ProcessUsage {
  /** Processor time, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory, in bytes. */
  readonly memoryBytes: number;
}

export default ProcessUsage;
