import type PlacedTarget from '@guavayard/core/placement/PlacedTarget';
import findEntryPhase from '@guavayard/core/rollouts/findEntryPhase';
import type RolloutCounts from '@guavayard/core/rollouts/RolloutCounts';
import type RolloutNotice from '@guavayard/core/rollouts/RolloutNotice';
import RolloutTally from '@guavayard/core/rollouts/RolloutTally';
import VersionGate from '@guavayard/core/rollouts/VersionGate';
import type Clock from '@guavayard/core/types/Clock';

interface ServiceVersionsOptions {
  /** Monotonic clock that counts suspends of the VM. */
  readonly elapsedClock: Clock;
  /** Time without control after which target versions get no request, in milliseconds. */
  readonly contactTimeoutMs: number;
}

/** A response of a target, or its absence. */
interface VersionOutcome {
  readonly target: PlacedTarget;
  readonly routeName: string;
  /** Whether the target was cold when the request was sent. */
  readonly wasCold: boolean;
  /** Time until the end of a good response, in milliseconds; undefined for a failure. */
  readonly durationMs: number | undefined;
}

/** Decides which versions of services get requests of this entry, and counts how they respond. */
export default class ServiceVersions {
  private readonly gate: VersionGate;

  private readonly tally = new RolloutTally();

  private sends = 0;

  constructor(private readonly options: ServiceVersionsOptions) {
    this.gate = new VersionGate(options.contactTimeoutMs);
  }

  /** Number of roll-outs that are under way. */
  get underWayCount(): number {
    return this.gate.underWay.length;
  }

  /** Number of requests sent to versions while they were brought in, since the start. */
  get sentCount(): number {
    return this.sends;
  }

  /** Applies the last roll-out of each service. */
  update(notices: readonly RolloutNotice[]): void {
    this.gate.update(notices, this.options.elapsedClock());
    this.tally.update(this.gate.underWay);
  }

  /** Records that control was heard. */
  recordContact(): void {
    this.gate.recordContact(this.options.elapsedClock());
  }

  /**
   * Sets the entries of the system, which send the share of a target version together.
   *
   * @param names - names of the entries
   * @param ownName - name of this entry
   */
  setEntries(names: readonly string[], ownName: string): void {
    this.gate.setPhase(findEntryPhase([...names].sort(), ownName));
  }

  /**
   * Decides whether a request that has arrived is one for the target version of a roll-out.
   *
   * @param service - its service
   * @returns true for the share of the requests that the target version gets
   */
  choose(service: string): boolean {
    this.tally.recordRequest(service);
    return this.gate.choose(service, this.options.elapsedClock());
  }

  /**
   * Finds the targets whose version may get a request now.
   *
   * @param service - service of the targets
   * @param targets - the targets
   * @param isChosen - whether the request was chosen for the target version
   * @returns those that may get it
   */
  filter(service: string, targets: readonly PlacedTarget[], isChosen: boolean): PlacedTarget[] {
    if (!this.gate.hasRollout(service)) return [...targets];
    const nowMs = this.options.elapsedClock();
    return this.gate.filter(service, targets, isChosen, nowMs, ({ record }) => record);
  }

  /** @returns whether a target may get requests now or soon */
  isWanted({ record }: PlacedTarget): boolean {
    // Asked for every target in each search, so that the clock is not read without need.
    if (!this.gate.hasRollout(record.service)) return true;
    return this.gate.isWanted(record, this.options.elapsedClock());
  }

  /** Records that a request is sent to a target. */
  recordSend({ record }: PlacedTarget, isChosen: boolean): void {
    const isTargetVersion = this.gate.isTargetVersion(record);
    if (isTargetVersion && this.gate.underWay.some(({ service }) => service === record.service)) {
      this.sends += 1;
      this.tally.recordSend(record.service);
    }
    if (isChosen && !isTargetVersion) this.gate.giveBack(record.service);
  }

  /**
   * Counts how a target has responded. Cold targets are slow whatever their version, so that they
   * are left out.
   */
  recordOutcome({
    target: { record }, routeName, wasCold, durationMs,
  }: VersionOutcome): void {
    if (wasCold) return;
    this.tally.recordResponse(record.service, {
      route: routeName,
      dataCentre: record.dataCentre,
      isTargetVersion: this.gate.isTargetVersion(record),
    }, durationMs);
  }

  /**
   * Lists what was counted of the roll-outs that are under way.
   *
   * @param targets - all known targets
   * @returns the counts of each roll-out
   */
  list(targets: Iterable<PlacedTarget>): Omit<RolloutCounts, 'startId' | 'sequence'>[] {
    const inFlight = new Map<string, number>();
    [...targets].filter(({ record }) => !this.gate.isTargetVersion(record))
      .forEach(({ record: { service }, inFlight: { size } }) => (
        inFlight.set(service, (inFlight.get(service) ?? 0) + size)));
    const nowMs = this.options.elapsedClock();
    return this.tally.list().map((counts) => ({
      ...counts,
      baseInFlight: inFlight.get(counts.service) ?? 0,
      hasSwitched: this.gate.hasSwitched(counts.service, nowMs),
    }));
  }
}
