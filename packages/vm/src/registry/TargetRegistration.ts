import { Ok, type Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import findAnnouncementMistake from '@guavayard/core/registry/findAnnouncementMistake';
import findTarget from '@guavayard/core/registry/findTarget';
import isRedundantAnnouncement from '@guavayard/core/registry/isRedundantAnnouncement';
import isStaleAnnouncement from '@guavayard/core/registry/isStaleAnnouncement';
import type RegisteredTarget from '@guavayard/core/registry/RegisteredTarget';

import type RolloutGate from '../rollouts/RolloutGate';
import type LeaderClient from './LeaderClient';
import type OrderSubmitter from './OrderSubmitter';
import type PresenceReporter from './PresenceReporter';
import type RegistryStore from './RegistryStore';
import type RegistryTaskOptions from './RegistryTaskOptions';

interface TargetRegistrationOptions extends Pick<RegistryTaskOptions, 'dataCentres' | 'log' | 'timeOfDay'> {
  readonly store: Pick<RegistryStore, 'coldLeftMs' | 'state'>;
  readonly presence: Pick<PresenceReporter, 'recordAnnouncement'>;
  readonly leader: Pick<LeaderClient, 'submit'>;
  readonly gate: Pick<RolloutGate, 'isOpen'>;
  readonly submitter: Pick<OrderSubmitter, 'submit'>;
  /** Returns whether the applied state is recent. */
  readonly isCurrent: () => boolean;
}

/** Registers and deregisters targets, at their own request or on the report of an entry. */
export default class TargetRegistration {
  constructor(private readonly options: TargetRegistrationOptions) {}

  /**
   * Registers a target or updates its registration.
   *
   * @param announcement - the announcement of the target
   * @returns nothing once every entry that follows control will receive it, `noQuorum`,
   *   `invalidAnnouncement` if no target can have sent it, or `staleAnnouncement` without effect
   */
  async announce(announcement: RegisteredTarget): Promise<Result<undefined, Failure>> {
    const {
      dataCentres, timeOfDay, isCurrent, presence, leader, log, store, gate,
    } = this.options;
    if (!isCurrent()) return fail('noQuorum', 'this VM does not hear the leader');
    const { version, ...unversioned } = announcement;
    // The log may hold no version before all members of the group can read one.
    const target = gate.isOpen ? announcement : unversioned;
    const mistake = findAnnouncementMistake(target, { dataCentres, nowMs: timeOfDay() });
    if (mistake !== undefined) return fail('invalidAnnouncement', mistake);
    const { state } = store;
    const isRedundant = isRedundantAnnouncement(state, target, store.coldLeftMs(target.id));
    if (isRedundant) presence.recordAnnouncement(target.id);
    if (isRedundant) return Ok(undefined);
    if (isStaleAnnouncement(state, target)) return fail('staleAnnouncement');
    const { id, state: announced, coldLeftMs } = target;
    const accepted = await leader.submit({ kind: 'announce', target });
    presence.recordAnnouncement(id);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    log.info({
      target: id, service: target.service, version, state: announced, coldLeftMs, outcome,
    }, 'target announced');
    return accepted;
  }

  /**
   * Removes a target from the registry at its own request.
   *
   * @param targetId - id of the target
   * @param isAbandoned - returns whether the caller has gone
   * @returns nothing once every entry that follows control will receive it, `overtaken`, or
   *   `noQuorum`
   */
  async withdraw(
    targetId: string,
    isAbandoned: () => boolean,
  ): Promise<Result<undefined, Failure>> {
    const { submitter, log } = this.options;
    const accepted = await submitter.submit({ kind: 'withdraw', targetId }, isAbandoned);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    log.info({ target: targetId, outcome }, 'target withdrawn');
    return accepted;
  }

  /**
   * Registers a target as draining that says so to entries, as it may not reach control itself.
   *
   * @param targetId - id of the target
   * @param bornAtMs - start of the incarnation that drains, in milliseconds of its clock
   */
  drain(targetId: string, bornAtMs: number): void {
    const { leader, log, store: { state } } = this.options;
    const known = findTarget(state, targetId);
    if (known?.bornAtMs !== bornAtMs || known.state !== 'ready') return;
    leader.submit({ kind: 'announce', target: { ...known, state: 'draining' } }).then((result) => {
      log.info({ target: targetId, outcome: result.ok ? 'accepted' : result.val.kind }, 'target drained on report of an entry');
    }, (err: Error) => log.error({ err }, 'failed to drain target'));
  }
}
