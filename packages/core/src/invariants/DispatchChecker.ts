import type AttemptResult from '../scheduling/AttemptResult';
import type KnownTarget from '../types/KnownTarget';
import type VersionedConfiguration from '../types/VersionedConfiguration';
import type CheckedDispatch from './CheckedDispatch';
import type DispatchCheck from './DispatchCheck';
import type InvariantCounts from './InvariantCounts';
import type InvariantKind from './InvariantKind';
import RunMemory from './RunMemory';

/** Counts the breaches of invariants at the point of dispatch. */
export default class DispatchChecker implements DispatchCheck {
  readonly counts: InvariantCounts = {
    dispatchWithoutLease: 0,
    dispatchToDataCentreOut: 0,
    coldLimitExceeded: 0,
    outsideHomeRegions: 0,
    repeatedRun: 0,
  };

  private readonly coldInFlight = new Map<string, number>();

  private readonly runs = new RunMemory();

  /**
   * @param entryName - name of this entry
   * @param configuration - the configuration in force, undefined without a lease
   * @param onBreach - told of every breach, for the log
   */
  constructor(
    private readonly entryName: string,
    private readonly configuration: () => VersionedConfiguration | undefined,
    private readonly onBreach: (kind: InvariantKind, dispatch: CheckedDispatch) => void,
  ) {}

  begin(dispatch: CheckedDispatch): (evidence: AttemptResult['evidence']) => void {
    this.checkPlace(dispatch);
    const endCold = this.beginCold(dispatch);
    const endRun = this.beginRun(dispatch);
    return (evidence) => {
      endCold();
      endRun(evidence);
    };
  }

  private checkPlace(dispatch: CheckedDispatch): void {
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

  private beginCold(dispatch: CheckedDispatch): () => void {
    const { target } = dispatch;
    if (target.state !== 'cold') return () => {};
    const inFlight = (this.coldInFlight.get(target.id) ?? 0) + 1;
    this.coldInFlight.set(target.id, inFlight);
    const isForeign = target.owner !== undefined && target.owner !== this.entryName;
    if (isForeign || inFlight > target.slots) this.report('coldLimitExceeded', dispatch);
    return () => this.endCold(target);
  }

  private endCold(target: KnownTarget): void {
    const inFlight = (this.coldInFlight.get(target.id) ?? 0) - 1;
    if (inFlight > 0) this.coldInFlight.set(target.id, inFlight);
    else this.coldInFlight.delete(target.id);
  }

  private beginRun(dispatch: CheckedDispatch): (evidence: AttemptResult['evidence']) => void {
    if (dispatch.isIdempotent) return () => {};
    if (!this.runs.begin(dispatch)) this.report('repeatedRun', dispatch);
    return (evidence) => {
      if (evidence === 'refused') this.runs.takeBack(dispatch);
    };
  }

  private report(kind: InvariantKind, dispatch: CheckedDispatch): void {
    this.counts[kind] += 1;
    this.onBreach(kind, dispatch);
  }
}
