import type LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type Clock from '@guavayard/core/types/Clock';
import type MeasuringCost from '@guavayard/target/probing/MeasuringCost';
import Prober from '@guavayard/target/probing/Prober';
import type ControlSubscription from '@guavayard/vm/entry/ControlSubscription';
import LoadReportExchange from '@guavayard/vm/load/LoadReportExchange';

import type RunContext from './RunContext';
import type TargetTasks from './TargetTasks';

const SCHEDULER_INTERVAL_MS = 5;
const PROBING_INTERVAL_MS = 50;

/** The running tasks that keep the scheduler's view of targets fresh. */
interface Measuring {
  /** What probes have cost since the start. */
  cost: () => MeasuringCost;
  stop: () => Promise<void>;
}

/**
 * Starts the tasks that keep the scheduler's view of targets fresh: its queues, load reports of the
 * region, the configuration, and probes of silent targets.
 *
 * @param context - identity of this VM
 * @param targets - directory and sessions
 * @param subscription - the configuration in force
 * @param scheduler - the scheduler
 * @param clock - monotonic clock
 * @returns the running tasks
 */
export default function createMeasuring(
  { identity }: RunContext,
  targets: TargetTasks,
  subscription: ControlSubscription,
  scheduler: LoadAwareScheduler,
  clock: Clock,
): Measuring {
  const loadReports = new LoadReportExchange(identity.region, targets.sessions, scheduler, clock);
  targets.sessions.addListener(loadReports);
  const prober = new Prober(identity.name, targets.directory, scheduler, clock);
  const scheduling = setInterval(() => {
    // Without requests, too, the scheduler must see a data centre leave and return.
    const configuration = subscription.latest?.configuration;
    if (configuration !== undefined) scheduler.observeConfiguration(configuration);
    scheduler.tick();
    loadReports.tick();
  }, SCHEDULER_INTERVAL_MS);
  const probing = setInterval(() => {
    // An entry without a lease may have lost its targets to another owner.
    if (subscription.latest !== undefined) prober.tick();
  }, PROBING_INTERVAL_MS);
  return {
    cost: () => prober.cost,
    stop: async () => {
      clearInterval(scheduling);
      clearInterval(probing);
      await prober.close();
    },
  };
}
