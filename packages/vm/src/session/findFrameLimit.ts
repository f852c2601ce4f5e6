import frameLimits from './frameLimits';
import type VmIdentity from './VmIdentity';

/**
 * Finds the maximum size of a frame between two VMs. Only control VMs exchange the log.
 *
 * @param own - identity of this VM
 * @param peer - identity of the other VM
 * @returns the limit in bytes
 */
export default function findFrameLimit(own: VmIdentity, peer: VmIdentity): number {
  const isControl = own.roles.includes('control') && peer.roles.includes('control');
  return isControl ? frameLimits.controlFrameBytes : frameLimits.entryFrameBytes;
}
