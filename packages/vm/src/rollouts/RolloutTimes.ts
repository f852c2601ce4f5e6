import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryState from '@guavayard/core/registry/RegistryState';
import findRollout from '@guavayard/core/rollouts/findRollout';
import type Clock from '@guavayard/core/types/Clock';

interface KnownTimes {
  readonly number: number;
  readonly knownAtMs: number;
  /** Whether the order was applied as soon as it was accepted. */
  readonly isFirstHand: boolean;
  readonly switchAtMs: number;
}

/**
 * Keeps at one replica when orders of roll-outs were accepted and when versions switch. The log
 * holds no time of a clock that all replicas share: a replica that was there measures from then on,
 * and one that reads the log later relies on the time of day of the leader at the order.
 */
export default class RolloutTimes {
  private readonly times = new Map<string, KnownTimes>();

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param timeOfDay - time of day, in milliseconds since 1970
   */
  constructor(private readonly clock: Clock, private readonly timeOfDay: () => number) {}

  /**
   * Records that a change was applied.
   *
   * @param change - the change
   * @param state - the registry with the change
   * @param isLive - whether the change has just been committed
   */
  recordChange(change: RegistryChange, state: RegistryState, isLive: boolean): void {
    const nowMs = this.clock();
    if (change.kind === 'startRollout') this.learn(change.service, state, isLive);
    if (change.kind !== 'switchRollout') return;
    const known = this.times.get(change.service);
    if (known?.number !== change.number) return;
    const switchAtMs = Math.min(known.switchAtMs, isLive ? nowMs + change.afterMs : nowMs);
    this.times.set(change.service, { ...known, switchAtMs });
  }

  /** Records roll-outs that this replica has read from a snapshot. */
  recordSnapshot(state: RegistryState): void {
    Object.entries(state.rollouts ?? {}).forEach(([service, { phase }]) => {
      this.learn(service, state, false);
      const known = this.times.get(service);
      if (known === undefined || phase !== 'switching') return;
      const switchAtMs = Math.min(known.switchAtMs, this.clock());
      this.times.set(service, { ...known, switchAtMs });
    });
  }

  /**
   * @param state - the registry
   * @param service - service of a roll-out
   * @returns the time since the last order for the service, in milliseconds; Infinity if there was
   *   none
   */
  elapsedMs(state: RegistryState, service: string): number {
    const rollout = findRollout(state, service);
    const known = this.times.get(service);
    if (rollout === undefined || known === undefined) return Infinity;
    const sinceKnownMs = this.clock() - known.knownAtMs;
    if (known.isFirstHand) return sinceKnownMs;
    return Math.max(sinceKnownMs, this.timeOfDay() - rollout.orderedAtMs);
  }

  /**
   * @param service - service of a roll-out
   * @returns the time until all of its requests go to the target version, in milliseconds
   */
  switchInMs(service: string): number {
    const leftMs = (this.times.get(service)?.switchAtMs ?? Infinity) - this.clock();
    return Number.isFinite(leftMs) ? Math.max(0, leftMs) : 0;
  }

  private learn(service: string, state: RegistryState, isFirstHand: boolean): void {
    const number = findRollout(state, service)?.number;
    if (number === undefined || this.times.get(service)?.number === number) return;
    this.times.set(service, {
      number, knownAtMs: this.clock(), isFirstHand, switchAtMs: Infinity,
    });
  }
}
