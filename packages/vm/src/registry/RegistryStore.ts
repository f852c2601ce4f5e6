import createConfigurationSnapshot from '@guavayard/core/configuration/createConfigurationSnapshot';
import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import applyRegistryChange from '@guavayard/core/registry/applyRegistryChange';
import createSubjectKey from '@guavayard/core/registry/createSubjectKey';
import createRegistryState from '@guavayard/core/registry/createRegistryState';
import findTarget from '@guavayard/core/registry/findTarget';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryState from '@guavayard/core/registry/RegistryState';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';
import createNotices from '../rollouts/createNotices';
import RolloutTimes from '../rollouts/RolloutTimes';

type View = Extract<VmMessage, { kind: 'registryView' }>;
type Update = Extract<VmMessage, { kind: 'registryUpdate' }>;

/** The registry as applied by one replica, with the changes not yet sent to its subscribers. */
export default class RegistryStore {
  private registry: RegistryState;

  private index: number;

  /** End of the warm-up of each cold target, on the clock of this VM. */
  private readonly warmAtMs = new Map<string, number>();

  private readonly dirtyIds = new Set<string>();

  /** Index of the entry that last evacuated or restored a data centre, or registered a target. */
  private readonly changedAt = new Map<string, number>();

  /** Index from which on `changedAt` is complete. */
  private baseIndex: number;

  private isDeclarationDirty = false;

  private areEvacuationsDirty = false;

  private areRolloutsDirty = false;

  /** What entries get in place of the source of the declaration, by that source. */
  private entrySource = { source: '', published: '' };

  /**
   * @param clock - monotonic clock, in milliseconds
   * @param initial - the registry of the snapshot on the disk, undefined if there is none
   * @param index - last index of the log that it includes
   * @param times - when roll-outs were ordered
   * @param createEntrySource - creates what entries get in place of the source of a declaration
   */
  constructor(
    private readonly clock: Clock,
    initial: RegistryState | undefined,
    index: number,
    readonly times = new RolloutTimes(clock, Date.now),
    private readonly createEntrySource: (source: string) => string = () => '',
  ) {
    this.registry = structuredClone(initial ?? createRegistryState());
    times.recordSnapshot(this.registry);
    this.index = index;
    this.baseIndex = index;
  }

  get state(): RegistryState {
    return this.registry;
  }

  /** Index up to which the log has been applied. */
  get appliedIndex(): number {
    return this.index;
  }

  /** @returns the time until a target is warm, in milliseconds */
  coldLeftMs(id: string): number {
    return Math.max(0, (this.warmAtMs.get(id) ?? 0) - this.clock());
  }

  /**
   * Returns when something was last changed that calls without a version are about.
   *
   * @param subject - key of the data centre or the target
   * @returns the index of the log entry, or the first one from which on that is known
   */
  changedAtIndex(subject: string): number {
    return this.changedAt.get(subject) ?? this.baseIndex;
  }

  /**
   * Applies a committed change.
   *
   * @param index - index of the change in the log
   * @param change - the committed change
   * @param isCurrentTerm - false for a change from an earlier term. Its age is unknown, so its
   *   target is taken to be warm.
   * @param isLive - whether the change has just been committed
   */
  apply(
    index: number,
    change: RegistryChange,
    isCurrentTerm = true,
    isLive = isCurrentTerm,
  ): void {
    this.index = index;
    const { declaration: before, rollouts } = this.registry;
    const known = new Set(Object.keys(this.registry.targets));
    const wasEvacuated = new Set(this.registry.evacuated);
    const bornAtMs = change.kind === 'announce'
      ? findTarget(this.registry, change.target.id)?.bornAtMs : undefined;
    applyRegistryChange(this.registry, change);
    this.recordChange(change, wasEvacuated, bornAtMs);
    this.times.recordChange(change, this.registry, isLive);
    if (this.registry.rollouts !== rollouts) this.areRolloutsDirty = true;
    if (change.kind === 'declare' && this.registry.declaration !== before) {
      this.isDeclarationDirty = true;
    }
    if (change.kind === 'evacuate' || change.kind === 'restore') this.areEvacuationsDirty = true;
    if (change.kind === 'announce') this.markAnnounced(change.target, isCurrentTerm);
    if (change.kind === 'withdraw' || change.kind === 'expire') this.dirtyIds.add(change.targetId);
    // An announcement may have ended another incarnation at the same address.
    known.forEach((id) => {
      if (Object.hasOwn(this.registry.targets, id)) return;
      this.dirtyIds.add(id);
      this.changedAt.delete(createSubjectKey('target', id));
    });
  }

  /** @returns the snapshot of the registry */
  createSnapshot(): ConfigurationSnapshot {
    return { ...createConfigurationSnapshot(), registry: structuredClone(this.registry) };
  }

  /** Advances the applied index past log entries without a registry change. */
  advance(index: number): void {
    this.index = Math.max(this.index, index);
  }

  /** Replaces the registry by a leader's snapshot. */
  restore(state: RegistryState | undefined, index: number): void {
    Object.keys(this.registry.targets).forEach((id) => this.dirtyIds.add(id));
    this.registry = structuredClone(state ?? createRegistryState());
    Object.keys(this.registry.targets).forEach((id) => this.dirtyIds.add(id));
    this.index = index;
    this.baseIndex = index;
    this.changedAt.clear();
    this.isDeclarationDirty = true;
    this.areEvacuationsDirty = true;
    this.areRolloutsDirty = true;
    this.times.recordSnapshot(this.registry);
  }

  /** @returns the complete registry, for a new subscriber */
  createView(): View {
    return {
      kind: 'registryView',
      index: this.index,
      declaration: this.createEntryDeclaration(),
      evacuated: [...this.registry.evacuated],
      targets: Object.values(this.registry.targets).map((target) => this.withColdLeft(target)),
      ...this.describeRollouts(),
    };
  }

  /** @returns the changes since the last call, undefined if there are none */
  collectUpdate(): Update | undefined {
    const isDirty = this.isDeclarationDirty || this.areEvacuationsDirty || this.areRolloutsDirty
      || this.dirtyIds.size > 0;
    if (!isDirty) return undefined;
    const ids = [...this.dirtyIds];
    const update: Update = {
      kind: 'registryUpdate',
      index: this.index,
      ...(this.isDeclarationDirty ? { declaration: this.createEntryDeclaration() } : {}),
      ...(this.areEvacuationsDirty ? { evacuated: [...this.registry.evacuated] } : {}),
      targets: ids.flatMap((id) => {
        const target = findTarget(this.registry, id);
        return target === undefined ? [] : [this.withColdLeft(target)];
      }),
      removedIds: ids.filter((id) => !Object.hasOwn(this.registry.targets, id)),
      ...(this.areRolloutsDirty ? this.describeRollouts() : {}),
    };
    this.dirtyIds.clear();
    this.isDeclarationDirty = false;
    this.areEvacuationsDirty = false;
    this.areRolloutsDirty = false;
    return update;
  }

  private describeRollouts(): Pick<View, 'rollouts'> {
    if (this.registry.rollouts === undefined) return {};
    return { rollouts: createNotices(this.registry, this.times) };
  }

  private recordChange(
    change: RegistryChange,
    wasEvacuated: ReadonlySet<string>,
    formerBornAtMs: number | undefined,
  ): void {
    if (change.kind === 'evacuate' || change.kind === 'restore') {
      const { dataCentre } = change;
      const isEvacuated = this.registry.evacuated.includes(dataCentre);
      if (isEvacuated === wasEvacuated.has(dataCentre)) return;
      this.changedAt.set(createSubjectKey('dataCentre', dataCentre), this.index);
    }
    if (change.kind !== 'announce') return;
    const { id, bornAtMs } = change.target;
    const isRegistered = findTarget(this.registry, id) === change.target;
    if (!isRegistered || bornAtMs === formerBornAtMs) return;
    this.changedAt.set(createSubjectKey('target', id), this.index);
  }

  private markAnnounced(target: RegisteredTarget, isCurrentTerm: boolean): void {
    if (this.registry.targets[target.id] !== target) return;
    this.dirtyIds.add(target.id);
    const coldLeftMs = isCurrentTerm ? target.coldLeftMs : 0;
    if (coldLeftMs > 0) this.warmAtMs.set(target.id, this.clock() + coldLeftMs);
    else this.warmAtMs.delete(target.id);
  }

  private withColdLeft(target: RegisteredTarget): RegisteredTarget {
    return { ...target, coldLeftMs: this.coldLeftMs(target.id) };
  }

  /**
   * Returns the declaration with only the part of its source that entries use: the whole source
   * would double the size of every update, and it holds keys.
   */
  private createEntryDeclaration(): RegistryState['declaration'] {
    const { declaration } = this.registry;
    if (declaration === undefined) return undefined;
    const { source } = declaration;
    if (source !== this.entrySource.source) {
      this.entrySource = { source, published: this.createEntrySource(source) };
    }
    return { ...declaration, source: this.entrySource.published };
  }
}
