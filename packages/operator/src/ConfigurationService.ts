import type { Result } from 'ts-results';

import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

/** The configuration as the operators' API sees it. */
interface ConfigurationService {
  /** The latest accepted configuration. */
  readonly latest: VersionedConfiguration;
  /**
   * Submits a patch. A resend of an accepted patch gets the version that it made.
   *
   * @param patch - the patch
   * @returns the version that it made, once it is durable, or the failure
   */
  submit: (patch: ConfigurationPatch) => Promise<Result<number, Failure>>;
}

export default ConfigurationService;
