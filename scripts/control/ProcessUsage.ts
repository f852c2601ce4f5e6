/** Resource usage of a process over a period. */
interface ProcessUsage {
  /** CPU time as a share of one core, from 0 to 1. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  /** Bytes read and written per second, on sockets and files. */
  readonly bytesPerSecond: number;
}

export default ProcessUsage;
