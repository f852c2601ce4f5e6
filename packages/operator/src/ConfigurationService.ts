import type { Result } from 'ts-results';

import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import type PatchOutcome from '@guavayard/core/configuration/PatchOutcome';
import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** Access to the configuration for the operators' API. */
interface ConfigurationService {
  /** The latest accepted configuration known to this VM. */
  readonly latest: VersionedConfiguration;
  /**
   * Submits a patch. Resubmitting an accepted patch returns the version that it created.
   *
   * @param patch - the patch
   * @returns the version that it created, once it is durable, or the failure
   */
  submit: (patch: ConfigurationPatch) => Promise<Result<number, Failure>>;
  /**
   * Returns the outcome of a patch, for an operator who did not receive the response.
   *
   * @param id - id of the patch
   * @param base - configuration version that it is based on
   * @returns its outcome, or `noQuorum`
   */
  outcome: (id: string, base: number) => Promise<Result<PatchOutcome, Failure>>;
  /** @returns the latest accepted configuration, confirmed by a quorum, or `noQuorum` */
  readConfiguration: () => Promise<Result<VersionedConfiguration, Failure>>;
  /** @returns which version is in force, or `noQuorum` */
  enforcement: () => Promise<Result<ConfigurationEnforcement, Failure>>;
}

export default ConfigurationService;
