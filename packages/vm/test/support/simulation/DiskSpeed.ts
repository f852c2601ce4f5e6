/** How long the simulated disks of all VMs take; it may change at any time. */
interface DiskSpeed {
  /** @returns the duration of the next sync, in milliseconds */
  drawSyncMs: () => number;
  /** Whether marks and replacements of the log are synced one by one, as on a real disk. */
  hasMarks: boolean;
}

export default DiskSpeed;
