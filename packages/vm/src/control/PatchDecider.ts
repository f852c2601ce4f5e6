import type AcceptedPatches from '@guavayard/core/configuration/AcceptedPatches';
import applyPatch from '@guavayard/core/configuration/applyPatch';
import type Failure from '@guavayard/core/errors/Failure';
import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';

import type ConsensusTask from './ConsensusTask';
import type ControlAnswer from './ControlAnswer';

function createFailure(kind: Failure['kind'], detail: string): ControlAnswer {
  return { kind: 'failure', failure: { kind, detail } };
}

/** Decides patches on the leader, one after the other. */
export default class PatchDecider {
  private queue: Promise<unknown> = Promise.resolve();

  /**
   * @param consensus - the replica of this VM
   * @param patches - gives what is committed and applied here
   */
  constructor(
    private readonly consensus: ConsensusTask,
    private readonly patches: () => AcceptedPatches,
  ) {}

  /**
   * Decides a patch.
   *
   * @param patch - the patch
   * @returns the answer, once a quorum has synced what it rests on; undefined if this VM does not
   * lead any more and nothing is known
   */
  async decide(patch: ConfigurationPatch): Promise<ControlAnswer | undefined> {
    const answer = this.queue.then(async () => this.decideNext(patch));
    this.queue = answer.catch(() => undefined);
    return answer;
  }

  private async decideNext(patch: ConfigurationPatch): Promise<ControlAnswer | undefined> {
    const known = this.recall(patch);
    if (known !== undefined) return known;
    const isValid = applyPatch(this.patches().latest, patch).ok;
    // A refusal rests on the latest version, so it has to be confirmed that there is no later one.
    const isDone = isValid
      ? await this.consensus.propose({ kind: 'patch', patch })
      : await this.consensus.confirm();
    if (!isDone) return undefined;
    return this.recall(patch) ?? this.refuse(patch);
  }

  /** Tells what became of a patch whose version is made: that never changes. */
  private recall(patch: ConfigurationPatch): ControlAnswer | undefined {
    const outcome = this.patches().outcome(patch.id, patch.base);
    if (outcome.outcome === 'accepted') return { kind: 'accepted', version: outcome.version };
    if (outcome.outcome === 'undecided') return undefined;
    const { version } = this.patches().latest;
    return createFailure('versionConflict', `base ${patch.base}, current ${version}`);
  }

  private refuse(patch: ConfigurationPatch): ControlAnswer | undefined {
    const result = applyPatch(this.patches().latest, patch);
    // What was applied meanwhile may have made it valid; the call is then tried again.
    return result.err ? createFailure(result.val.kind, result.val.detail) : undefined;
  }
}
