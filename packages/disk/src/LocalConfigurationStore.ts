import { Ok, type Result } from 'ts-results';

import applyPatch from '@guavayard/core/configuration/applyPatch';
import fail from '@guavayard/core/errors/fail';
import type Failure from '@guavayard/core/errors/Failure';
import Configuration from '@guavayard/core/types/Configuration';
import ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';

import type RecordLog from './RecordLog';

/** Keeps accepted patches in the record log of one VM. */
export default class LocalConfigurationStore {
  latest: VersionedConfiguration = { version: 0, configuration: Configuration.parse({}) };

  private readonly acceptedIds: string[] = [];

  private queue: Promise<unknown> = Promise.resolve();

  /**
   * @param log - the log, open
   * @param values - the patches that the log holds
   * @param onAccept - called with each durable configuration, first with the one in the log
   * @throws if the log holds a patch that does not apply
   */
  constructor(
    private readonly log: RecordLog,
    values: readonly unknown[],
    private readonly onAccept: (latest: VersionedConfiguration) => void,
  ) {
    values.forEach((value) => {
      const patch = ConfigurationPatch.parse(value);
      this.accept(patch, applyPatch(this.latest, patch).unwrap());
    });
    onAccept(this.latest);
  }

  /**
   * Submits a patch; patches are decided one after the other.
   *
   * @param patch - the patch
   * @returns the version that it made, or the failure
   */
  async submit(patch: ConfigurationPatch): Promise<Result<number, Failure>> {
    const result = this.queue.then(async () => this.decide(patch));
    this.queue = result.catch(() => undefined);
    return result;
  }

  private async decide(patch: ConfigurationPatch): Promise<Result<number, Failure>> {
    // The id at the next index recognises a resend, in constant time and for ever.
    if (this.acceptedIds[patch.base] === patch.id) return Ok(patch.base + 1);
    if (patch.base > this.latest.version) {
      return fail('versionConflict', `base ${patch.base}, current ${this.latest.version}`);
    }
    const next = applyPatch(this.latest, patch);
    if (next.err) return next;
    await this.log.append(patch);
    this.accept(patch, next.val);
    this.onAccept(next.val);
    return Ok(next.val.version);
  }

  private accept(patch: ConfigurationPatch, next: VersionedConfiguration): void {
    this.acceptedIds.push(patch.id);
    this.latest = next;
  }
}
