import type Clock from '@guavayard/core/types/Clock';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type VmMessage from '../messages/VmMessage';
import type VmIdentity from '../session/VmIdentity';

/** Dependencies and settings of `KeyTask`. */
interface KeyTaskOptions {
  readonly identity: VmIdentity;
  readonly clock: Clock;
  /** Retention time of keys, in milliseconds; longer than any request may run. */
  readonly windowMs: number;
  /** @returns the configuration in force, undefined while this entry may not dispatch */
  readonly configuration: () => VersionedConfiguration | undefined;
  /** Sends a message to another entry, over a session that is opened if there is none. */
  readonly send: (entry: VmIdentity, message: VmMessage) => void;
}

export default KeyTaskOptions;
