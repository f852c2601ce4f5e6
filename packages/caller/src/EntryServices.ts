import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type KeyKeeper from '@guavayard/core/idempotency/KeyKeeper';
import type DispatchCheck from '@guavayard/core/invariants/DispatchCheck';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';
import type Clock from '@guavayard/core/types/Clock';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type EntryRelay from './EntryRelay';

/** Components of the entry that the request path depends on. */
interface EntryServices {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly sender: TargetSender;
  readonly recorder: RequestRecorder;
  readonly dispatchCheck: DispatchCheck;
  readonly keys: KeyKeeper;
  readonly relay: EntryRelay;
  /** @returns the configuration in force; undefined while requests may not be dispatched */
  configuration: () => VersionedConfiguration | undefined;
}

export default EntryServices;
