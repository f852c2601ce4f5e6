import findVersionOf from './findVersionOf';
import type RolloutNotice from './RolloutNotice';

interface GatedTarget {
  readonly service: string;
  readonly version?: string | undefined;
}

interface KnownRollout {
  readonly notice: RolloutNotice;
  /** When all requests go to the target version. */
  readonly switchAtMs: number;
  /** Part of a request that the target version is owed; it gets one at 1. */
  credit: number;
}

/**
 * Decides at an entry which versions of a service may get a request. Services without a roll-out
 * are served by all versions.
 */
export default class VersionGate {
  private readonly rollouts = new Map<string, KnownRollout>();

  private contactAtMs = -Infinity;

  private phase = 0.5;

  /**
   * @param contactTimeoutMs - time without control after which target versions get no request, in
   *   milliseconds
   */
  constructor(private readonly contactTimeoutMs: number) {}

  /** Sets the part of a request with which each roll-out begins, from 0 to 1. */
  setPhase(phase: number): void {
    this.phase = phase;
  }

  /** Records that control was heard. */
  recordContact(nowMs: number): void {
    this.contactAtMs = nowMs;
  }

  /**
   * Replaces the roll-outs.
   *
   * @param notices - the last roll-out of each service
   * @param nowMs - monotonic clock, in milliseconds
   */
  update(notices: readonly RolloutNotice[], nowMs: number): void {
    const known = new Map(this.rollouts);
    this.rollouts.clear();
    notices.forEach((notice) => {
      const last = known.get(notice.service);
      const isSame = last?.notice.number === notice.number;
      const isSwitching = notice.phase === 'switching';
      const dueAtMs = isSwitching ? nowMs + notice.switchInMs : Infinity;
      this.rollouts.set(notice.service, {
        notice,
        // The time that is left is told again on each change, and may have waited on its way. A
        // switch that was announced does not outlast a roll-back.
        switchAtMs: isSame && isSwitching ? Math.min(last.switchAtMs, dueAtMs) : dueAtMs,
        credit: isSame ? last.credit : this.phase,
      });
    });
  }

  /** @returns whether a service has ever had a roll-out */
  hasRollout(service: string): boolean {
    return this.rollouts.has(service);
  }

  /** The roll-outs that are under way. */
  get underWay(): RolloutNotice[] {
    return [...this.rollouts.values()].map(({ notice }) => notice)
      .filter(({ phase }) => phase === 'running' || phase === 'switching');
  }

  /**
   * Decides whether a request of a caller is one for the target version.
   *
   * @param service - its service
   * @param nowMs - monotonic clock, in milliseconds
   * @returns true for the share of the requests that the target version gets at present
   */
  choose(service: string, nowMs: number): boolean {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined || !this.isEvaluating(rollout, nowMs)) return false;
    rollout.credit += rollout.notice.canaryShare;
    if (rollout.credit < 1) return false;
    rollout.credit -= 1;
    return true;
  }

  /** Gives back the turn of a request that was chosen for the target version and not sent there. */
  giveBack(service: string): void {
    const rollout = this.rollouts.get(service);
    // Turns do not add up, or a version whose targets come late would get many at once.
    if (rollout !== undefined) rollout.credit = Math.min(1, rollout.credit + 1);
  }

  /** @returns whether a version is the target of the last roll-out of its service */
  isTargetVersion(target: GatedTarget): boolean {
    const rollout = this.rollouts.get(target.service);
    return rollout?.notice.targetVersion === findVersionOf(target);
  }

  /** @returns whether all requests of a service go to the target version of its roll-out */
  hasSwitched(service: string, nowMs: number): boolean {
    const rollout = this.rollouts.get(service);
    return rollout !== undefined && rollout.switchAtMs <= nowMs && this.isInContact(nowMs);
  }

  /**
   * Finds the targets whose version may get a request.
   *
   * @param service - service of the targets
   * @param targets - the targets
   * @param isChosen - whether the request was chosen for the target version
   * @param nowMs - monotonic clock, in milliseconds
   * @param recordOf - returns what a target has registered
   * @returns those that may get it: for a chosen one, of the target version if there are any
   */
  filter<Target>(
    service: string,
    targets: readonly Target[],
    isChosen: boolean,
    nowMs: number,
    recordOf: (target: Target) => GatedTarget,
  ): Target[] {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) return [...targets];
    const { notice: { phase, baseVersions, targetVersion } } = rollout;
    const ofTarget = (): Target[] => targets
      .filter((target) => findVersionOf(recordOf(target)) === targetVersion);
    const ofBase = (): Target[] => targets
      .filter((target) => baseVersions.includes(findVersionOf(recordOf(target))));
    if (phase === 'completed' || this.hasSwitched(service, nowMs)) return ofTarget();
    if (!isChosen || !this.isEvaluating(rollout, nowMs)) return ofBase();
    const chosen = ofTarget();
    return chosen.length > 0 ? chosen : ofBase();
  }

  /**
   * Returns whether a target may get requests now or soon, so that it is worth a probe, and its
   * silence says something of the service.
   *
   * @param target - what the target has registered
   * @param nowMs - monotonic clock, in milliseconds
   * @returns false if its version has been taken out of service
   */
  isWanted(target: GatedTarget, nowMs: number): boolean {
    const rollout = this.rollouts.get(target.service);
    if (rollout === undefined) return true;
    const { notice: { phase, baseVersions, targetVersion } } = rollout;
    const version = findVersionOf(target);
    if (phase === 'completed' || this.hasSwitched(target.service, nowMs)) {
      return version === targetVersion;
    }
    return baseVersions.includes(version)
      || (phase !== 'rolledBack' && version === targetVersion);
  }

  private isEvaluating({ notice: { phase }, switchAtMs }: KnownRollout, nowMs: number): boolean {
    return (phase === 'running' || phase === 'switching') && nowMs < switchAtMs
      && this.isInContact(nowMs);
  }

  private isInContact(nowMs: number): boolean {
    return nowMs - this.contactAtMs <= this.contactTimeoutMs;
  }
}
