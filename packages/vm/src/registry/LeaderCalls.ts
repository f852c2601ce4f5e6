import type RegistryChange from '@guavayard/core/registry/RegistryChange';

import type ConsensusTask from '../control/ConsensusTask';
import type ControlCall from '../control/ControlCall';
import type ControlResponse from '../control/ControlResponse';
import removeVersion from '../rollouts/removeVersion';
import type RolloutGate from '../rollouts/RolloutGate';
import type RolloutOrders from '../rollouts/RolloutOrders';
import type DeclarationGate from './DeclarationGate';
import OrderGate from './OrderGate';
import type RegistryStore from './RegistryStore';

type ChangeCall = Extract<ControlCall, { kind: 'change' }>;

interface LeaderCallsOptions {
  readonly consensus: Pick<ConsensusTask, 'awaitReadPoint' | 'confirmedVoterCount' | 'hasCommittedInTerm' | 'isLeader' | 'propose'>;
  readonly store: Pick<RegistryStore, 'changedAtIndex' | 'state'>;
  readonly declarations: DeclarationGate;
  readonly rollouts: RolloutOrders;
  readonly gate: Pick<RolloutGate, 'isOpen'>;
  /** Returns whether this replica is in contact with its group. */
  readonly isInContact: () => boolean;
  /** Number of voters required before a system without a declaration accepts any change. */
  readonly requiredVoters: number;
}

/** Handles the calls that only the leader of the registry can serve. */
export default class LeaderCalls {
  private readonly orders: OrderGate;

  constructor(private readonly options: LeaderCallsOptions) {
    this.orders = new OrderGate(options.store);
  }

  /**
   * Handles a call.
   *
   * @param call - the call
   * @returns the response, undefined if this replica does not lead or cannot say
   */
  async handle(call: ControlCall): Promise<ControlResponse | undefined> {
    const {
      consensus, store, isInContact, rollouts,
    } = this.options;
    if (!consensus.isLeader || !isInContact()) return undefined;
    if (call.kind === 'declaration') {
      if (!await consensus.awaitReadPoint()) return undefined;
      return { kind: 'declaration', source: store.state.declaration?.source };
    }
    if (call.kind === 'rollout') return rollouts.read(call.service);
    if (call.kind === 'startRollout') return rollouts.start(call.order);
    return call.kind === 'change' ? this.handleChange(call) : undefined;
  }

  private async handleChange(call: ChangeCall): Promise<ControlResponse | undefined> {
    const {
      consensus, store, requiredVoters, gate,
    } = this.options;
    const { basis } = call;
    const change = gate.isOpen ? call.change : removeVersion(call.change);
    const hasRequiredVoters = store.state.declaration !== undefined
      || consensus.confirmedVoterCount >= requiredVoters;
    // Before all voters hold the log, an accepted change would survive fewer losses than promised.
    if (!hasRequiredVoters) return undefined;
    const propose = async (): Promise<boolean> => consensus.propose({ kind: 'registry', change });
    if (change.kind === 'declare') return this.declare(change, propose);
    if (basis === undefined) return await propose() ? { kind: 'changed' } : undefined;
    // Until then entries of earlier terms may be missing that the change would undo.
    if (!consensus.hasCommittedInTerm) return undefined;
    const outcome = await this.orders.run(change, basis, propose);
    if (outcome === 'overtaken') return { kind: 'failure', failure: { kind: 'overtaken', detail: '' } };
    return outcome === 'committed' ? { kind: 'changed' } : undefined;
  }

  private async declare(
    { declaration: { version } }: Extract<RegistryChange, { kind: 'declare' }>,
    propose: () => Promise<boolean>,
  ): Promise<ControlResponse | undefined> {
    const { store, declarations } = this.options;
    const isCommitted = (store.state.declaration?.version ?? -1) >= version
      || await declarations.propose(version, propose);
    return isCommitted ? { kind: 'changed' } : undefined;
  }
}
