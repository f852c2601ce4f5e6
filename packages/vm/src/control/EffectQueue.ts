import type ConsensusEffect from '@guavayard/core/consensus/ConsensusEffect';
import type ConsensusEvent from '@guavayard/core/consensus/ConsensusEvent';
import type ConsensusRecord from '@guavayard/core/consensus/ConsensusRecord';
import type ConsensusState from '@guavayard/core/consensus/ConsensusState';
import findLastIndex from '@guavayard/core/consensus/findLastIndex';
import findTerm from '@guavayard/core/consensus/findTerm';
import mustAwaitSync from '@guavayard/core/consensus/mustAwaitSync';
import type Clock from '@guavayard/core/types/Clock';

import type LogWriter from './LogWriter';

type SyncedEvent = Extract<ConsensusEvent, { kind: 'synced' }>;

interface EffectQueueOptions {
  readonly state: ConsensusState;
  readonly writer: LogWriter;
  readonly clock: Clock;
  readonly execute: (effect: ConsensusEffect) => void;
  /** Executes the effects that have waited for a write, and processes the event of its end. */
  readonly onSynced: (effects: readonly ConsensusEffect[], event: SyncedEvent) => void;
  readonly onFailure: (err: Error) => void;
}

/** What a replica does to itself, which has to happen in order. */
function isLocal(effect: ConsensusEffect): boolean {
  return effect.kind !== 'send' && effect.kind !== 'write';
}

/**
 * Executes the effects of a replica: at once, or after the writes that they rest on. Writes that
 * are requested during a write are synced together.
 */
export default class EffectQueue {
  /** Effects that wait for the next write. */
  private waiting: ConsensusEffect[] = [];

  /** Effects that wait for the write in progress. */
  private batch: readonly ConsensusEffect[] = [];

  private isWriting = false;

  private isClosed = false;

  constructor(private readonly options: EffectQueueOptions) {}

  /**
   * Adds the effects of a step that has just been made.
   *
   * @param effects - its effects, in order
   */
  add(effects: readonly ConsensusEffect[]): void {
    const { state, execute } = this.options;
    effects.forEach((effect) => {
      const isOvertaking = isLocal(effect)
        && (this.batch.some(isLocal) || this.waiting.some(isLocal));
      if (isOvertaking || mustAwaitSync(state, effect)) this.waiting.push(effect);
      else execute(effect);
    });
    if (this.isWriting) return;
    this.isWriting = true;
    this.write().catch((err: Error) => this.options.onFailure(err));
  }

  /** Ends the execution of effects. */
  close(): void {
    this.isClosed = true;
    this.options.writer.close();
  }

  private async write(): Promise<void> {
    const { writer, onSynced } = this.options;
    do {
      const effects = this.waiting.splice(0);
      this.batch = effects;
      // eslint-disable-next-line no-await-in-loop -- writes are sequential
      const event = effects.length === 0 ? undefined : await this.sync(effects);
      if (this.isClosed) return;
      this.batch = [];
      if (event !== undefined) onSynced(effects, event);
      // eslint-disable-next-line no-await-in-loop
      await writer.markIfDue();
    } while (this.waiting.length > 0);
    this.isWriting = false;
  }

  private async sync(effects: readonly ConsensusEffect[]): Promise<SyncedEvent> {
    const { state, writer, clock } = this.options;
    const records: ConsensusRecord[] = effects
      .flatMap((effect) => (effect.kind === 'write' ? [effect.record] : []));
    const startedAtMs = clock();
    const lastIndex = findLastIndex(state);
    const lastTerm = findTerm(state, lastIndex);
    if (records.length > 0) await writer.write(records, state);
    const nowMs = clock();
    return {
      kind: 'synced',
      nowMs,
      lastIndex,
      lastTerm,
      votes: records.filter(({ kind }) => kind === 'vote').length,
      durationMs: nowMs - startedAtMs,
    };
  }
}
