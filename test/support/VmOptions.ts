/** The settings of a VM that a test can choose. */
interface VmOptions {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly roles: readonly ('entry' | 'control')[];
  /** Addresses of the control VMs. */
  readonly control: readonly string[];
  /**
   * How long a stopping VM keeps serving while the platform detects that it is not ready, in
   * milliseconds; 0 by default.
   */
  readonly noticeMs?: number;
  /** Address for sessions with other VMs; by default the operating system chooses the port. */
  readonly listen?: string;
}

export default VmOptions;
