import type RequestLimitNotice from '@guavayard/core/requestLimit/RequestLimitNotice';

import type Roster from './Roster';

/** Receives the updates that an entry gets from control. */
interface RegistryListener {
  /** The declaration, the evacuations or the targets have changed. */
  onChange: () => void;
  /** The control VM that the entry follows has sent something. */
  onContact: () => void;
  /** VMs have joined or left the system. */
  onRosterChange: (roster: Roster) => void;
  /**
   * Another entry has reported that a target crashed while it ran a request; older builds do not
   * name the target.
   */
  onCrash: (fingerprint: string, targetId?: string) => void;
  /** Control knew of crashes under a request when the entry began to follow it. */
  onKnownCrashes: (fingerprint: string, count: number) => void;
  /** A target has answered a request at another entry, after crashes had been reported. */
  onRequestAnswered: (fingerprint: string) => void;
  /** Other entries have learnt the request limits of targets. */
  onRequestLimits: (notices: readonly RequestLimitNotice[]) => void;
  /** The entry has switched to another control VM, or follows none. */
  onSourceChange: (controlName: string | undefined, reason: string) => void;
}

export default RegistryListener;
