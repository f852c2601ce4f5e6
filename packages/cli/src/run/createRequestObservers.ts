import DispatchChecker from '@guavayard/core/invariants/DispatchChecker';
import invariantTable from '@guavayard/core/invariants/invariantTable';
import ObjectiveRecorder from '@guavayard/core/objectives/ObjectiveRecorder';
import RecorderGroup from '@guavayard/core/objectives/RecorderGroup';
import type RequestRecorder from '@guavayard/core/objectives/RequestRecorder';
import type Clock from '@guavayard/core/types/Clock';
import type Configuration from '@guavayard/core/types/Configuration';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import RequestMetrics from '@guavayard/metrics/RequestMetrics';

import isRestrictedToOtherRegions from './isRestrictedToOtherRegions';
import RequestLog from './RequestLog';
import type RunContext from './RunContext';

/** Observers of the requests of an entry. */
interface RequestObservers {
  readonly recorder: RequestRecorder;
  readonly dispatchCheck: DispatchChecker;
}

/**
 * Creates the observers that count, check and log the requests of an entry.
 *
 * @param context - identity, log and reports of the VM
 * @param clock - monotonic clock
 * @param latest - returns the configuration in force, undefined without a lease
 * @returns the recorder of finished requests and the checker of dispatches
 */
export default function createRequestObservers(
  context: RunContext,
  clock: Clock,
  latest: () => VersionedConfiguration | undefined,
): RequestObservers {
  const {
    identity, log, reports, metrics,
  } = context;
  const configuration = (): Configuration | undefined => latest()?.configuration;
  const objectives = new ObjectiveRecorder(clock, configuration);
  const requestLog = new RequestLog(clock, log, identity.region);
  const dispatchCheck = new DispatchChecker(identity.name, latest, (invariant, dispatch) => {
    const { record, target } = dispatch;
    const requestId = isRestrictedToOtherRegions(record, identity.region)
      ? undefined
      : record.requestId;
    const meaning = invariantTable[invariant];
    log.error({ invariant, requestId, target: target.id }, `invariant broken: ${meaning}`);
  });
  reports.provide({ services: () => objectives.read(), version: () => latest()?.version });
  const requestMetrics = new RequestMetrics(clock, identity.region, configuration);
  metrics?.addSource((sink) => requestMetrics.sendTo(sink));
  const recorders = [objectives, requestLog, ...(metrics === undefined ? [] : [requestMetrics])];
  return { recorder: new RecorderGroup(recorders), dispatchCheck };
}
