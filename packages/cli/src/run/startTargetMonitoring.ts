import type LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type Clock from '@guavayard/core/types/Clock';
import type MeasuringCost from '@guavayard/target/probing/MeasuringCost';
import Prober from '@guavayard/target/probing/Prober';
import type ControlSubscription from '@guavayard/vm/entry/ControlSubscription';
import LoadReportExchange from '@guavayard/vm/load/LoadReportExchange';

import type RunContext from './RunContext';
import type TargetTasks from './TargetTasks';

const SCHEDULER_INTERVAL_MS = 5;
const PROBE_INTERVAL_MS = 50;

/** The running tasks that keep the scheduler's view of targets up to date. */
interface TargetMonitoring {
  /** Returns the cost of the probes since the start. */
  cost: () => MeasuringCost;
  stop: () => Promise<void>;
}

/**
 * Starts the tasks that keep the scheduler's view of targets up to date: its queues, load
 * reports within the region, and probes of owned targets that have not reported their load
 * recently.
 *
 * @param context - identity of this VM
 * @param targets - directory of targets and sessions with other entries
 * @param subscription - the configuration in force
 * @param scheduler - the scheduler
 * @param clock - monotonic clock
 * @returns the running tasks
 */
export default function startTargetMonitoring(
  { identity }: RunContext,
  targets: TargetTasks,
  subscription: ControlSubscription,
  scheduler: LoadAwareScheduler,
  clock: Clock,
): TargetMonitoring {
  const loadReports = new LoadReportExchange(identity.region, targets.sessions, scheduler, clock);
  targets.sessions.addListener(loadReports);
  const prober = new Prober(identity.name, targets.directory, scheduler, clock);
  const schedulerTimer = setInterval(() => {
    scheduler.tick();
    loadReports.tick();
  }, SCHEDULER_INTERVAL_MS);
  const probeTimer = setInterval(() => {
    // Without a lease another entry may own the targets by now, so they are not probed.
    if (subscription.latest !== undefined) prober.tick();
  }, PROBE_INTERVAL_MS);
  return {
    cost: () => prober.cost,
    stop: async () => {
      clearInterval(schedulerTimer);
      clearInterval(probeTimer);
      await prober.close();
    },
  };
}
