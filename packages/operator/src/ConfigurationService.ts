import type { Result } from 'ts-results';

import type ConfigurationEnforcement from '@guavayard/core/configuration/ConfigurationEnforcement';
import type PatchOutcome from '@guavayard/core/configuration/PatchOutcome';
import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** The configuration as the operators' API sees it. */
interface ConfigurationService {
  /** The latest configuration that this VM knows to be accepted. */
  readonly latest: VersionedConfiguration;
  /**
   * Submits a patch. A resend of an accepted patch gets the version that it made.
   *
   * @param patch - the patch
   * @returns the version that it made, once it is durable, or the failure
   */
  submit: (patch: ConfigurationPatch) => Promise<Result<number, Failure>>;
  /**
   * Tells what became of a patch, for an operator who lost the answer.
   *
   * @param id - id of the patch
   * @param base - version that it was made for
   * @returns its outcome, or `noQuorum`
   */
  outcome: (id: string, base: number) => Promise<Result<PatchOutcome, Failure>>;
  /** @returns the latest accepted configuration, confirmed by a quorum, or `noQuorum` */
  current: () => Promise<Result<VersionedConfiguration, Failure>>;
  /** @returns which version is in force, or `noQuorum` */
  enforcement: () => Promise<Result<ConfigurationEnforcement, Failure>>;
}

export default ConfigurationService;
