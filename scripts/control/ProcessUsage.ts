/** What one process used over a while. */
interface ProcessUsage {
  /** Share of one core, from 0 to 1. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  /** Bytes read and written a second, of sockets and files alike. */
  readonly bytesPerSecond: number;
}

export default ProcessUsage;
