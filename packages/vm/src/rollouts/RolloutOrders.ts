import type Logger from 'bunyan';

import decideRolloutOrder from '@guavayard/core/rollouts/decideRolloutOrder';
import findRollout from '@guavayard/core/rollouts/findRollout';
import planRollout from '@guavayard/core/rollouts/planRollout';
import type RolloutOrder from '@guavayard/core/rollouts/RolloutOrder';

import type ConsensusTask from '../control/ConsensusTask';
import type ControlResponse from '../control/ControlResponse';
import type RegistryStore from '../registry/RegistryStore';
import type RolloutGate from './RolloutGate';
import type RolloutLimits from './RolloutLimits';

interface RolloutOrdersOptions {
  readonly consensus: Pick<ConsensusTask, 'awaitReadPoint' | 'hasCommittedInTerm' | 'propose'>;
  readonly store: Pick<RegistryStore, 'state' | 'times'>;
  readonly gate: Pick<RolloutGate, 'isEnabled' | 'isOpen'>;
  readonly log: Logger;
  readonly limits: RolloutLimits;
  /** Time of day, in milliseconds since 1970. */
  readonly timeOfDay: () => number;
}

/** Carries out the orders of roll-outs on the leader, one after the other, and reads them. */
export default class RolloutOrders {
  private last: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: RolloutOrdersOptions) {}

  /**
   * Starts a roll-out, unless the order was accepted before.
   *
   * @param order - the order
   * @returns `changed` once a quorum has synced the order, a failure if it is refused, undefined if
   *   this replica cannot say
   */
  async start(order: RolloutOrder): Promise<ControlResponse | undefined> {
    // Each order is compared with all that were accepted before.
    const current = this.last.then(async () => this.startNext(order));
    this.last = current.catch(() => undefined);
    return current;
  }

  /**
   * Reads the last roll-out of a service.
   *
   * @param service - the service
   * @returns the roll-out, undefined if this replica cannot say
   */
  async read(service: string): Promise<ControlResponse | undefined> {
    const { consensus, store } = this.options;
    if (!await consensus.awaitReadPoint()) return undefined;
    const rollout = findRollout(store.state, service);
    if (rollout === undefined) return { kind: 'rollout' };
    const { phase, targetVersion } = rollout;
    return { kind: 'rollout', rollout: { phase, targetVersion } };
  }

  private async startNext(order: RolloutOrder): Promise<ControlResponse | undefined> {
    const {
      consensus, store, gate, log, limits, timeOfDay,
    } = this.options;
    // Until then an order that was accepted in an earlier term may be missing.
    if (!consensus.hasCommittedInTerm) return undefined;
    if (!gate.isEnabled) {
      const detail = 'the settings have no roll-outs';
      return { kind: 'failure', failure: { kind: 'rolloutRefused', detail } };
    }
    const sinceLastMs = store.times.elapsedMs(store.state, order.service);
    const decision = decideRolloutOrder(store.state, order, sinceLastMs);
    if (decision.err) return { kind: 'failure', failure: decision.val };
    if (decision.val === 'accepted') return { kind: 'changed' };
    if (!gate.isOpen) {
      const detail = 'a control VM is missing or of a build without roll-outs';
      return { kind: 'failure', failure: { kind: 'noQuorum', detail } };
    }
    const { canaryShare } = planRollout(order.durationMs, limits.share);
    const isCommitted = await consensus.propose({
      kind: 'registry',
      change: {
        kind: 'startRollout', ...order, canaryShare, orderedAtMs: timeOfDay(),
      },
    });
    log.info({ ...order, canaryShare, isCommitted }, 'roll-out ordered');
    return isCommitted ? { kind: 'changed' } : undefined;
  }
}
