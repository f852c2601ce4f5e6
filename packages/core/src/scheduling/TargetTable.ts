import type KnownTarget from '../types/KnownTarget';
import hashTargetId from './hashTargetId';
import type TargetState from './TargetState';

const HASH_RANGE = 0x40000;

/** Table of the states of all known targets. A new start id replaces the state of a target. */
export default class TargetTable {
  private readonly states = new Map<string, TargetState>();

  private readonly byHash = new Map<number, TargetState>();

  /**
   * @param entryName - name of this entry; each entry ranks equal targets differently
   */
  constructor(private readonly entryName: string) {}

  /**
   * @param target - a target from the directory
   * @returns its state, created if this incarnation is unknown
   */
  stateOf(target: KnownTarget): TargetState {
    const known = this.states.get(target.id);
    if (known?.startId === target.startId) return known;
    return this.create(target);
  }

  /**
   * @param hash - hash of a target's id
   * @returns its state, or undefined if no known target has this hash
   */
  findByHash(hash: number): TargetState | undefined {
    return this.byHash.get(hash);
  }

  /** @returns all states */
  all(): IterableIterator<TargetState> {
    return this.states.values();
  }

  private create(target: KnownTarget): TargetState {
    const hash = hashTargetId(target.id);
    const state: TargetState = {
      id: target.id,
      startId: target.startId,
      slots: target.slots,
      hash,
      outstanding: new Set(),
      peerLoads: new Map(),
      peersInFlight: 0,
      lastSharedInFlight: 0,
      report: undefined,
      slowness: 1,
      slownessAtMs: 0,
      consecutiveFailures: 0,
      affinity: hashTargetId(`${this.entryName}/${target.id}`) / HASH_RANGE,
      coldRamp: undefined,
      isWarm: false,
    };
    this.states.set(target.id, state);
    this.byHash.set(hash, state);
    return state;
  }
}
