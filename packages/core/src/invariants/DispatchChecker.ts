import type AttemptResult from '../scheduling/AttemptResult';
import type KnownTarget from '../types/KnownTarget';
import type VersionedConfiguration from '../types/VersionedConfiguration';
import type CheckedDispatch from './CheckedDispatch';
import type DispatchCheck from './DispatchCheck';
import type InvariantCounts from './InvariantCounts';
import type InvariantKind from './InvariantKind';
import RunTracker from './RunTracker';

/** Counts breaches of invariants when attempts are dispatched. */
export default class DispatchChecker implements DispatchCheck {
  readonly counts: InvariantCounts = {
    dispatchWithoutLease: 0,
    dispatchToDataCentreOut: 0,
    coldLimitExceeded: 0,
    outsideHomeRegions: 0,
    repeatedRun: 0,
  };

  private readonly coldInFlight = new Map<string, number>();

  private readonly runs = new RunTracker();

  /**
   * @param entryName - name of this entry
   * @param configuration - returns the configuration in force, or undefined without a lease
   * @param onBreach - called on every breach, for logging
   */
  constructor(
    private readonly entryName: string,
    private readonly configuration: () => VersionedConfiguration | undefined,
    private readonly onBreach: (kind: InvariantKind, dispatch: CheckedDispatch) => void,
  ) {}

  begin(dispatch: CheckedDispatch): (evidence: AttemptResult['evidence']) => void {
    this.checkDestination(dispatch);
    const finishColdDispatch = this.trackColdDispatch(dispatch);
    const finishRun = this.trackRun(dispatch);
    return (evidence) => {
      finishColdDispatch();
      finishRun(evidence);
    };
  }

  private checkDestination(dispatch: CheckedDispatch): void {
    const current = this.configuration();
    if (current === undefined) {
      this.report('dispatchWithoutLease', dispatch);
      return;
    }
    const dataCentre = current.configuration.dataCentres[dispatch.target.dataCentre];
    if (dataCentre?.state !== 'in') this.report('dispatchToDataCentreOut', dispatch);
    const { homeRegions } = dispatch.match;
    if (homeRegions === undefined) return;
    if (dataCentre === undefined || !homeRegions.includes(dataCentre.region)) {
      this.report('outsideHomeRegions', dispatch);
    }
  }

  private trackColdDispatch(dispatch: CheckedDispatch): () => void {
    const { target } = dispatch;
    if (target.state !== 'cold') return () => {};
    const inFlight = (this.coldInFlight.get(target.id) ?? 0) + 1;
    this.coldInFlight.set(target.id, inFlight);
    const isOwnedByOther = target.owner !== undefined && target.owner !== this.entryName;
    if (isOwnedByOther || inFlight > target.slots) this.report('coldLimitExceeded', dispatch);
    return () => this.releaseColdTarget(target);
  }

  private releaseColdTarget(target: KnownTarget): void {
    const inFlight = (this.coldInFlight.get(target.id) ?? 0) - 1;
    if (inFlight > 0) this.coldInFlight.set(target.id, inFlight);
    else this.coldInFlight.delete(target.id);
  }

  private trackRun(dispatch: CheckedDispatch): (evidence: AttemptResult['evidence']) => void {
    if (dispatch.isIdempotent) return () => {};
    if (!this.runs.begin(dispatch)) this.report('repeatedRun', dispatch);
    return (evidence) => {
      if (evidence === 'refused') this.runs.revoke(dispatch);
    };
  }

  private report(kind: InvariantKind, dispatch: CheckedDispatch): void {
    this.counts[kind] += 1;
    this.onBreach(kind, dispatch);
  }
}
