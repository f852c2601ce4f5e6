import type Roster from './Roster';

/** Told what an entry learns from control. */
interface RegistryListener {
  /** The declaration, the evacuations or the targets have changed. */
  onChange: () => void;
  /** VMs of the system have come or gone. */
  onRoster: (roster: Roster) => void;
  /** Another entry saw a target crash under a request. */
  onCrash: (fingerprint: string) => void;
  /** The entry follows another control VM, or none. */
  onSource: (controlName: string | undefined, reason: string) => void;
}

export default RegistryListener;
