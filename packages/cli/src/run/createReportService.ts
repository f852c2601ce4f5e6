import createBurnReport from '@guavayard/core/objectives/createBurnReport';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import type ReportService from '@guavayard/operator/ReportService';
import ReportGatherer from '@guavayard/vm/status/ReportGatherer';

import type RunContext from './RunContext';

/**
 * Creates the service with which the operators' API gathers reports from all VMs.
 *
 * @param context - sessions and this VM's own reports
 * @param latest - returns the latest accepted configuration
 * @returns the service
 */
export default function createReportService(
  context: RunContext,
  latest: () => VersionedConfiguration,
): ReportService {
  const gatherer = new ReportGatherer(context.identity.name, context.reports);
  context.hub.addHandler(gatherer);
  return {
    vms: async () => {
      const { reports, silent } = await gatherer.gatherStatus();
      return { vms: [...reports].sort((a, b) => (a.vm < b.vm ? -1 : 1)), silent: [...silent] };
    },
    readBurnReport: async () => {
      const { reports, silent } = await gatherer.gatherCounts();
      return createBurnReport(latest().configuration, reports, silent);
    },
  };
}
