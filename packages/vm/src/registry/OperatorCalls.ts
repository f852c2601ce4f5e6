import type Logger from 'bunyan';
import { Ok, type Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import fail from '@guavayard/core/errors/fail';
import type Declaration from '@guavayard/core/registry/Declaration';
import findDeclarationMistakes from '@guavayard/core/registry/findDeclarationMistakes';
import type Rollout from '@guavayard/core/rollouts/Rollout';
import type RolloutOrder from '@guavayard/core/rollouts/RolloutOrder';

import type ConsensusTask from '../control/ConsensusTask';
import type DeclarationGate from './DeclarationGate';
import type LeaderClient from './LeaderClient';
import type OrderSubmitter from './OrderSubmitter';
import type RegistryStore from './RegistryStore';

interface OperatorCallsOptions {
  readonly store: Pick<RegistryStore, 'state'>;
  readonly consensus: Pick<ConsensusTask, 'leaderName'>;
  readonly declarations: DeclarationGate;
  readonly leader: LeaderClient;
  readonly submitter: OrderSubmitter;
  readonly log: Logger;
}

/** Carries out the calls of operators. */
export default class OperatorCalls {
  constructor(private readonly options: OperatorCallsOptions) {}

  /**
   * Puts a declaration in force, unless its version or a higher one already is.
   *
   * @param declaration - the declaration to apply
   * @returns nothing once a quorum has synced it, `invalidPatch` with the errors found, or
   *   `noQuorum`
   */
  async declare(declaration: Declaration): Promise<Result<undefined, Failure>> {
    const {
      store, consensus, declarations, leader, log,
    } = this.options;
    const errors = findDeclarationMistakes(declaration);
    if (errors.length > 0) return fail('invalidPatch', errors.join('; '));
    const { version } = declaration;
    // Applied versions are committed, so this version is in force already or superseded for good.
    if ((store.state.declaration?.version ?? -1) >= version) return Ok(undefined);
    const call = leader.submit({ kind: 'declare', declaration });
    const accepted = await declarations.awaitApplied(version, call) ?? Ok(undefined);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    log.info({ version, outcome, leader: consensus.leaderName }, 'declaration');
    return accepted;
  }

  /** @returns the source of the newest declaration, undefined if there is none, or `noQuorum` */
  async readDeclaration(): Promise<Result<string | undefined, Failure>> {
    const response = await this.options.leader.call({ kind: 'declaration' });
    if (response.err) return response;
    return Ok(response.val.kind === 'declaration' ? response.val.source : undefined);
  }

  /**
   * Evacuates a data centre or restores it.
   *
   * @param dataCentre - name of the data centre
   * @param isOut - true to evacuate it, so that its targets get no new work; false to restore it
   * @param isAbandoned - returns whether the caller has gone
   * @returns nothing once a quorum has synced the change, `overtaken`, or `noQuorum`
   */
  async evacuate(
    dataCentre: string,
    isOut: boolean,
    isAbandoned: () => boolean,
  ): Promise<Result<undefined, Failure>> {
    const { submitter, log } = this.options;
    const kind = isOut ? 'evacuate' : 'restore';
    const accepted = await submitter.submit({ kind, dataCentre }, isAbandoned);
    const outcome = accepted.ok ? 'accepted' : accepted.val.kind;
    log.info({ dataCentre, isOut, outcome }, 'evacuation');
    return accepted;
  }

  /**
   * Brings a version of a service in by degrees, unless the order was accepted before.
   *
   * @param order - the order
   * @returns nothing once a quorum has synced it, `rolloutInProgress`, `rolloutRefused`, or
   *   `noQuorum`
   */
  async startRollout(order: RolloutOrder): Promise<Result<undefined, Failure>> {
    const { leader, log } = this.options;
    const response = await leader.call({ kind: 'startRollout', order });
    const outcome = response.ok ? 'accepted' : response.val.kind;
    log.info({ ...order, outcome }, 'order of a roll-out');
    return response.map(() => undefined);
  }

  /**
   * Reads the last roll-out of a service.
   *
   * @param service - the service
   * @returns the roll-out, undefined if there was none, or `noQuorum`
   */
  async readRollout(
    service: string,
  ): Promise<Result<Pick<Rollout, 'phase' | 'targetVersion'> | undefined, Failure>> {
    const response = await this.options.leader.call({ kind: 'rollout', service });
    if (response.err) return response;
    return Ok(response.val.kind === 'rollout' ? response.val.rollout : undefined);
  }
}
