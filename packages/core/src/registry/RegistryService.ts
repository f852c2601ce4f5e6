import type { Result } from 'ts-results';

import type Failure from '../errors/Failure';
import type Declaration from './Declaration';
import type RegisteredTarget from './RegisteredTarget';

/** What control does for operators and targets of a system that is run by declarations. */
interface RegistryService {
  declare: (declaration: Declaration) => Promise<Result<undefined, Failure>>;
  readDeclaration: () => Promise<Result<string | undefined, Failure>>;
  evacuate: (dataCentre: string, isOut: boolean) => Promise<Result<undefined, Failure>>;
  announce: (target: RegisteredTarget) => Promise<Result<undefined, Failure>>;
  /**
   * @param dataCentre - where a target stands
   * @param region - the region of that data centre
   * @returns IP number of the control VM that its announcements cross the fewest links to
   */
  findNearControl: (dataCentre: string, region: string) => string | undefined;
  withdraw: (targetId: string) => Promise<Result<undefined, Failure>>;
}

export default RegistryService;
