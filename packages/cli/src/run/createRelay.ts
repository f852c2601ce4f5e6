import { createHmac, timingSafeEqual } from 'node:crypto';

import type EntryRelay from '@guavayard/caller/EntryRelay';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

/**
 * Creates the relay that finds other entries and signs and verifies relayed requests.
 *
 * @param identity - identity of this VM
 * @param key - key shared by all VMs
 * @param readEntries - returns all entries that hold a lease
 * @returns the relay
 */
export default function createRelay(
  identity: VmIdentity,
  key: string,
  readEntries: () => readonly VmIdentity[],
): EntryRelay {
  let lookups = 0;
  const sign: EntryRelay['sign'] = (reason, requestId) => {
    const proof = createHmac('sha256', key).update(`relay:${reason}:${requestId}`).digest('hex');
    return `${reason}.${proof}`;
  };
  return {
    region: identity.region,
    findEntries: (regions) => {
      const addresses = readEntries()
        .filter(({ name, region }) => name !== identity.name && regions.includes(region))
        .flatMap(({ callerAddress }) => callerAddress ?? []);
      lookups += 1;
      const start = addresses.length === 0 ? 0 : lookups % addresses.length;
      return [...addresses.slice(start), ...addresses.slice(0, start)];
    },
    addressOf: (name) => readEntries().find((entry) => entry.name === name)?.callerAddress,
    sign,
    verify: (header, requestId) => {
      if (header === undefined) return undefined;
      const reason = header.startsWith('owner.') ? 'owner' : 'home';
      const expected = Buffer.from(sign(reason, requestId));
      const given = Buffer.from(header);
      const isValid = given.length === expected.length && timingSafeEqual(given, expected);
      return isValid ? reason : undefined;
    },
  };
}
