import type EntrySessionListener from '@guavayard/vm/entry/EntrySessionListener';
import type EntrySessions from '@guavayard/vm/entry/EntrySessions';
import type VmMessage from '@guavayard/vm/messages/VmMessage';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

import type OwnershipTable from '../OwnershipTable';
import type TargetDirectory from '../TargetDirectory';
import type DirectoryEffect from './DirectoryEffect';

/** Exchanges directory updates with the other entries. */
export default class DirectoryExchange implements EntrySessionListener {
  constructor(
    private readonly sessions: EntrySessions,
    private readonly directory: TargetDirectory,
    private readonly ownership: OwnershipTable,
  ) {}

  onEntryOpen({ name }: VmIdentity): void {
    this.sessions.send(name, { kind: 'targetsHeld', records: this.directory.held() });
  }

  onEntryMessage({ name }: VmIdentity, message: VmMessage): void {
    switch (message.kind) {
      case 'targetsHeld':
        this.directory.receiveHeldRecords(name, message.records);
        break;
      case 'targetsChanged':
        this.directory.receiveRecords(name, message.records);
        break;
      case 'targetsReleased':
        this.directory.receiveRelease(name, message.targetIds, message.isExpired);
        break;
      case 'targetsAlive':
        this.directory.receiveConfirmation(name);
        break;
      case 'targetHeartbeat':
        this.directory.receiveHeartbeat(message.targetId, message.startId);
        break;
      case 'ownershipReleased':
        this.ownership.release(name);
        break;
      default:
    }
  }

  onEntryClose({ name }: VmIdentity): void {
    this.directory.handleEntryClose(name);
  }

  /** Confirms to the other entries that all targets held here are alive. */
  confirmHeld(): void {
    if (this.directory.held().length > 0) this.sessions.broadcast({ kind: 'targetsAlive' });
  }

  /**
   * Sends the updates of the local directory to the other entries.
   *
   * @param effects - updates to send
   */
  send(effects: readonly DirectoryEffect[]): void {
    const published = effects.flatMap((effect) => (effect.kind === 'publish' ? effect.record : []));
    if (published.length > 0) {
      this.sessions.broadcast({ kind: 'targetsChanged', records: published });
    }
    this.sendReleases(effects, true);
    this.sendReleases(effects, false);
    effects.forEach((effect) => this.sendToOne(effect));
  }

  private sendReleases(effects: readonly DirectoryEffect[], isExpired: boolean): void {
    const targetIds = effects.flatMap((effect) => (
      effect.kind === 'release' && effect.isExpired === isExpired ? effect.targetId : []
    ));
    if (targetIds.length === 0) return;
    this.sessions.broadcast({ kind: 'targetsReleased', targetIds, isExpired });
  }

  private sendToOne(effect: DirectoryEffect): void {
    if (effect.kind === 'reply') {
      this.sessions.send(effect.to, { kind: 'targetsChanged', records: [effect.record] });
    }
    if (effect.kind === 'heartbeat') {
      const { targetId, startId } = effect;
      this.sessions.send(effect.to, { kind: 'targetHeartbeat', targetId, startId });
    }
  }
}
