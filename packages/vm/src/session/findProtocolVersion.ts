import type VmIdentity from './VmIdentity';

const FIRST_VERSION = 1;

/**
 * Returns the version of the messages that a VM understands.
 *
 * @param identity - identity that the VM has presented
 * @returns the version, 1 if the VM does not tell it
 */
export default function findProtocolVersion({ startId }: VmIdentity): number {
  const version = /\.(\d+)$/.exec(startId)?.[1];
  return version === undefined ? FIRST_VERSION : Number(version);
}
