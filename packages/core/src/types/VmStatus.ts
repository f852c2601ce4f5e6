import * as z from 'zod';

import InvariantCounts from '../invariants/InvariantCounts';
import Name from './Name';

const Count = z.int().min(0);

const EntryStatus = z.strictObject({
  /** Whether the entry holds a lease and may dispatch requests. */
  hasLease: z.boolean(),
  /** Whether the entry reports to the platform's load balancer that it is ready for callers. */
  isReady: z.boolean(),
  /** Number of live targets known to the entry, by state. */
  targets: z.strictObject({ cold: Count, ready: Count, draining: Count }),
  /** Number of targets that this entry owns. */
  ownedTargets: Count,
  invariants: InvariantCounts,
  /** Cost of probing the owned targets, if the entry probes any. */
  measuring: z.strictObject({
    /** Number of probes sent since the start. */
    probes: Count,
    /** Largest fraction of the slot time of any owned target that probes used. */
    usedShare: z.number().min(0),
    /** Fraction of the slot time that probes may use. */
    budgetShare: z.number().min(0),
  }).optional(),
});

const ControlStatus = z.strictObject({
  state: z.string().max(32),
  term: Count,
  leader: Name.optional(),
  voters: z.array(Name),
});

/** Status that a VM reports about itself. */
const VmStatus = z.strictObject({
  vm: Name,
  region: Name,
  dataCentre: Name,
  roles: z.array(z.enum(['entry', 'control'])),
  /** Version of the software. */
  program: z.string().max(32),
  uptimeMs: Count,
  /** Memory usage of the process, in bytes. */
  memoryBytes: Count,
  /** Version of the configuration that the VM has, undefined before the first one. */
  version: Count.optional(),
  entry: EntryStatus.optional(),
  control: ControlStatus.optional(),
});
type VmStatus = z.infer<typeof VmStatus>;

export default VmStatus;
