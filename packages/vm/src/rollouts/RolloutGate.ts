import type RegistryState from '@guavayard/core/registry/RegistryState';

import type ConsensusTask from '../control/ConsensusTask';
import type VmHub from '../session/VmHub';
import ROLLOUT_VERSION from './rolloutVersion';

interface RolloutGateOptions {
  readonly consensus: Pick<ConsensusTask, 'learnerNames' | 'voterNames'>;
  readonly hub: Pick<VmHub, 'protocolVersionOf'>;
  readonly ownName: string;
  /** Number of voters of a complete group. */
  readonly requiredVoters: number;
  /** Whether the settings have limits of roll-outs. */
  readonly isEnabled: boolean;
  readonly state: () => RegistryState;
}

/**
 * Decides whether the log may hold roll-outs and the versions of targets, which older builds cannot
 * read: in systems with settings for roll-outs, once all members of a complete group tell that they
 * can. Once the log holds one, there is
 * no way back, so a member that is lost or unreachable no longer matters.
 */
export default class RolloutGate {
  private hasRecords = false;

  constructor(private readonly options: RolloutGateOptions) {}

  /** Whether the system has settings for roll-outs, or has had some. */
  get isEnabled(): boolean {
    return this.options.isEnabled || this.isOpen;
  }

  /** Whether the log may hold them. */
  get isOpen(): boolean {
    const {
      consensus, hub, ownName, requiredVoters, state,
    } = this.options;
    const { rollouts, targets } = state();
    this.hasRecords ||= rollouts !== undefined
      || Object.values(targets).some(({ version }) => version !== undefined);
    if (this.hasRecords) return true;
    if (!this.options.isEnabled) return false;
    const { voterNames, learnerNames } = consensus;
    return voterNames.length >= requiredVoters && [...voterNames, ...learnerNames]
      .every((name) => name === ownName || hub.protocolVersionOf(name) >= ROLLOUT_VERSION);
  }
}
