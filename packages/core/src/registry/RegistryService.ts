import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type Rollout from '../rollouts/Rollout';
import type RolloutOrder from '../rollouts/RolloutOrder';
import type Declaration from './Declaration';
import type RegisteredTarget from './RegisteredTarget';

/** Operations of control for operators and targets, in systems configured by declarations. */
interface RegistryService {
  /** Puts a declaration in force unless a higher version already is. */
  declare: (declaration: Declaration) => Promise<Result<undefined, Failure>>;
  /** Returns the source of the declaration in force, undefined if there is none. */
  readDeclaration: () => Promise<Result<string | undefined, Failure>>;
  /** Takes a data centre out of service, or restores it, unless the caller has gone. */
  evacuate: (
    dataCentre: string,
    isOut: boolean,
    isAbandoned: () => boolean,
  ) => Promise<Result<undefined, Failure>>;
  /** Registers a target or updates its registration. */
  announce: (target: RegisteredTarget) => Promise<Result<undefined, Failure>>;
  /**
   * Finds a control VM near a target.
   *
   * @param dataCentre - data centre of the target
   * @param region - the region of that data centre
   * @returns the IP address of the control VM to which announcements of the target cross the fewest
   * links, undefined if there is none in the region
   */
  findNearestControl: (dataCentre: string, region: string) => string | undefined;
  /** Deregisters a target, unless the caller has gone. */
  withdraw: (targetId: string, isAbandoned: () => boolean) => Promise<Result<undefined, Failure>>;
  /** Brings a version of a service in by degrees, unless the order was accepted before. */
  startRollout: (order: RolloutOrder) => Promise<Result<undefined, Failure>>;
  /** Returns the last roll-out of a service, undefined if there was none. */
  readRollout: (service: string) => Promise<Result<Pick<Rollout, 'phase' | 'targetVersion'> | undefined, Failure>>;
}

export default RegistryService;
