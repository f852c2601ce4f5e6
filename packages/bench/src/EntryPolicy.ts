import type LoadSharing from '@guavayard/core/scheduling/LoadSharing';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';

/** What one entry of a policy consists of. */
interface EntryPolicy {
  readonly scheduler: Scheduler;
  readonly sharing?: LoadSharing;
  /** Called every few milliseconds. */
  readonly tick?: () => void;
  /** Whether idempotent requests are hedged. */
  readonly hedges: boolean;
}

export default EntryPolicy;
