import type VmIdentity from '../session/VmIdentity';
import type VmPlace from './VmPlace';

/**
 * @param identity - identity of a VM
 * @returns its name, address and place
 */
export default function describePlace(identity: VmIdentity): VmPlace {
  const {
    name, address, region, dataCentre,
  } = identity;
  return {
    name, address, region, dataCentre,
  };
}
