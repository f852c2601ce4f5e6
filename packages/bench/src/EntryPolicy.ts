import type LoadSharing from '@guavayard/core/scheduling/LoadSharing';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';

/** The components that a policy provides for one entry. */
interface EntryPolicy {
  readonly scheduler: Scheduler;
  /** Exchanges load reports with other entries; absent if the policy shares no load. */
  readonly sharing?: LoadSharing;
  /** Called periodically, on every tick of the simulation. */
  readonly tick?: () => void;
  /** Whether idempotent requests are hedged. */
  readonly hedges: boolean;
}

export default EntryPolicy;
