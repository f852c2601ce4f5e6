/** What a test chooses of a VM's settings. */
interface VmOptions {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly roles: readonly ('entry' | 'control')[];
  /** Addresses of the control VMs. */
  readonly control: readonly string[];
  /** Time for the platform to notice that the VM is not ready; none by default. */
  readonly noticeMs?: number;
  /** Address for sessions with other VMs; by default the system chooses the port. */
  readonly listen?: string;
}

export default VmOptions;
