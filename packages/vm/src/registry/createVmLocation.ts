import type VmIdentity from '../session/VmIdentity';
import type VmLocation from './VmLocation';

/**
 * Extracts the location from the identity of a VM.
 *
 * @param identity - identity that the VM presented when its session opened
 * @returns the VM's name, address, region and data centre
 */
export default function createVmLocation(identity: VmIdentity): VmLocation {
  const {
    name, address, region, dataCentre,
  } = identity;
  return {
    name, address, region, dataCentre,
  };
}
