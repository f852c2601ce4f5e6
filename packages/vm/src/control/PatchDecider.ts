import type AcceptedPatches from '@guavayard/core/configuration/AcceptedPatches';
import applyPatch from '@guavayard/core/configuration/applyPatch';
import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';

import type ConsensusTask from './ConsensusTask';
import type ControlResponse from './ControlResponse';

function createFailure(kind: Failure['kind'], detail: string): ControlResponse {
  return { kind: 'failure', failure: { kind, detail } };
}

/** Accepts or rejects patches on the leader, one at a time. */
export default class PatchDecider {
  private queue: Promise<unknown> = Promise.resolve();

  /**
   * @param consensus - the replica of this VM
   * @param patches - returns the patches that are committed and applied here
   */
  constructor(
    private readonly consensus: ConsensusTask,
    private readonly patches: () => AcceptedPatches,
  ) {}

  /**
   * Accepts or rejects a patch.
   *
   * @param patch - the submitted patch
   * @returns the response, once a quorum has synced the state that it is based on; undefined if
   * this VM no longer leads and the outcome is unknown
   */
  async decide(patch: ConfigurationPatch): Promise<ControlResponse | undefined> {
    const response = this.queue.then(async () => this.decideNext(patch));
    this.queue = response.catch(() => undefined);
    return response;
  }

  private async decideNext(patch: ConfigurationPatch): Promise<ControlResponse | undefined> {
    const known = this.findOutcome(patch);
    if (known !== undefined) return known;
    const isValid = applyPatch(this.patches().latest, patch).ok;
    // A rejection depends on the latest version, so a quorum has to confirm that none is newer.
    const isConfirmed = isValid
      ? await this.consensus.propose({ kind: 'patch', patch })
      : await this.consensus.awaitReadPoint();
    if (!isConfirmed) return undefined;
    return this.findOutcome(patch) ?? this.reject(patch);
  }

  /** Returns the final outcome of a patch whose version exists already, undefined if undecided. */
  private findOutcome(patch: ConfigurationPatch): ControlResponse | undefined {
    const outcome = this.patches().outcome(patch.id, patch.base);
    if (outcome.outcome === 'accepted') return { kind: 'accepted', version: outcome.version };
    if (outcome.outcome === 'undecided') return undefined;
    const { version } = this.patches().latest;
    return createFailure('versionConflict', `base ${patch.base}, current ${version}`);
  }

  private reject(patch: ConfigurationPatch): ControlResponse | undefined {
    const result = applyPatch(this.patches().latest, patch);
    // A patch applied in the meantime may have made this one valid; the call is then retried.
    return result.err ? createFailure(result.val.kind, result.val.detail) : undefined;
  }
}
