import type RegistryTaskOptions from '../registry/RegistryTaskOptions';
import RolloutGate from './RolloutGate';
import type RolloutLimits from './RolloutLimits';
import RolloutOrders from './RolloutOrders';
import RolloutTask from './RolloutTask';

type TaskOptions = ConstructorParameters<typeof RolloutTask>[0];
type OrderOptions = ConstructorParameters<typeof RolloutOrders>[0];
type GateOptions = ConstructorParameters<typeof RolloutGate>[0];

/** Limits of roll-outs that were ordered before their settings were removed. */
const DEFAULT_LIMITS: RolloutLimits = { share: 0.1, slack: 50 };

interface RolloutParts {
  readonly gate: RolloutGate;
  readonly task: RolloutTask;
  readonly orders: RolloutOrders;
}

/**
 * Creates the parts of a control VM that handle roll-outs.
 *
 * @param options - dependencies and settings of the registry
 * @param parts - the replica, its state and the entries that it knows
 * @returns the parts
 */
export default function createRollouts(
  {
    hub, identity, requiredVoters, log, clock, timeOfDay, rollout,
  }: RegistryTaskOptions,
  { consensus, store, entries }: Pick<TaskOptions, 'entries' | 'store'>
    & { consensus: TaskOptions['consensus'] & OrderOptions['consensus'] & GateOptions['consensus'] },
): RolloutParts {
  const limits = rollout ?? DEFAULT_LIMITS;
  const gate = new RolloutGate({
    consensus,
    hub,
    ownName: identity.name,
    requiredVoters,
    isEnabled: rollout !== undefined,
    state: () => store.state,
  });
  return {
    gate,
    task: new RolloutTask({
      consensus, store, hub, log, clock, limits, entries,
    }),
    orders: new RolloutOrders({
      consensus, store, gate, log, limits, timeOfDay,
    }),
  };
}
