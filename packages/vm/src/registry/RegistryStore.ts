import applyRegistryChange from '@guavayard/core/registry/applyRegistryChange';
import createRegistryState from '@guavayard/core/registry/createRegistryState';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';
import type RegistryChange from '@guavayard/core/registry/RegistryChange';
import type RegistryState from '@guavayard/core/registry/RegistryState';
import type Clock from '@guavayard/core/types/Clock';

import type VmMessage from '../messages/VmMessage';

type View = Extract<VmMessage, { kind: 'registryView' }>;
type Update = Extract<VmMessage, { kind: 'registryUpdate' }>;

/** The registry as one replica has applied it, and what its subscribers have not been told. */
export default class RegistryStore {
  private registry: RegistryState;

  private index: number;

  /** When each cold target is warm, on the clock of this VM. */
  private readonly coldUntil = new Map<string, number>();

  private readonly dirtyIds = new Set<string>();

  private isDeclarationDirty = false;

  private isEvacuationDirty = false;

  constructor(private readonly clock: Clock, initial: RegistryState | undefined, index: number) {
    this.registry = structuredClone(initial ?? createRegistryState());
    this.index = index;
  }

  get state(): RegistryState {
    return this.registry;
  }

  /** @returns how much longer a target is cold, in milliseconds */
  coldLeftMs(id: string): number {
    return Math.max(0, (this.coldUntil.get(id) ?? 0) - this.clock());
  }

  /**
   * Applies a committed change.
   *
   * @param index - its index in the log
   * @param change - the change
   * @param isNews - false for a change that was made before the present leader took over: nobody
   *   knows how long ago, so that it does not tell how much longer a target is cold
   */
  apply(index: number, change: RegistryChange, isNews = true): void {
    this.index = index;
    const before = this.registry.declaration;
    const known = new Set(Object.keys(this.registry.targets));
    applyRegistryChange(this.registry, change);
    if (change.kind === 'declare' && this.registry.declaration !== before) {
      this.isDeclarationDirty = true;
    }
    if (change.kind === 'evacuate' || change.kind === 'restore') this.isEvacuationDirty = true;
    if (change.kind === 'announce') this.noteAnnounced(change.target, isNews);
    if (change.kind === 'withdraw' || change.kind === 'expire') this.dirtyIds.add(change.targetId);
    // An announcement may have ended another life at the same address.
    known.forEach((id) => {
      if (!(id in this.registry.targets)) this.dirtyIds.add(id);
    });
  }

  /** Notes that entries without a registry change are applied up to an index. */
  advance(index: number): void {
    this.index = Math.max(this.index, index);
  }

  /** Replaces everything by a leader's snapshot. */
  restore(state: RegistryState | undefined, index: number): void {
    Object.keys(this.registry.targets).forEach((id) => this.dirtyIds.add(id));
    this.registry = structuredClone(state ?? createRegistryState());
    Object.keys(this.registry.targets).forEach((id) => this.dirtyIds.add(id));
    this.index = index;
    this.isDeclarationDirty = true;
    this.isEvacuationDirty = true;
  }

  /** @returns the whole registry, for a new subscriber */
  createView(): View {
    return {
      kind: 'registryView',
      index: this.index,
      declaration: this.declarationForEntries(),
      evacuated: [...this.registry.evacuated],
      targets: Object.values(this.registry.targets).map((target) => this.age(target)),
    };
  }

  /** @returns what has changed since the last call, undefined if nothing has */
  takeUpdate(): Update | undefined {
    const isDirty = this.isDeclarationDirty || this.isEvacuationDirty || this.dirtyIds.size > 0;
    if (!isDirty) return undefined;
    const ids = [...this.dirtyIds];
    const update: Update = {
      kind: 'registryUpdate',
      index: this.index,
      ...(this.isDeclarationDirty ? { declaration: this.declarationForEntries() } : {}),
      ...(this.isEvacuationDirty ? { evacuated: [...this.registry.evacuated] } : {}),
      targets: ids.flatMap((id) => {
        const target = this.registry.targets[id];
        return target === undefined ? [] : [this.age(target)];
      }),
      removedIds: ids.filter((id) => !(id in this.registry.targets)),
    };
    this.dirtyIds.clear();
    this.isDeclarationDirty = false;
    this.isEvacuationDirty = false;
    return update;
  }

  private noteAnnounced(target: RegisteredTarget, isNews: boolean): void {
    if (this.registry.targets[target.id] !== target) return;
    this.dirtyIds.add(target.id);
    const coldLeftMs = isNews ? target.coldLeftMs : 0;
    if (coldLeftMs > 0) this.coldUntil.set(target.id, this.clock() + coldLeftMs);
    else this.coldUntil.delete(target.id);
  }

  private age(target: RegisteredTarget): RegisteredTarget {
    return { ...target, coldLeftMs: this.coldLeftMs(target.id) };
  }

  /** Entries decide by the decoded document; its source would double every update. */
  private declarationForEntries(): RegistryState['declaration'] {
    const { declaration } = this.registry;
    return declaration === undefined ? undefined : { ...declaration, source: '' };
  }
}
