import { createHash } from 'node:crypto';

import type ConfigurationPatch from '../types/ConfigurationPatch';
import type VersionedConfiguration from '../types/VersionedConfiguration';
import applyPatch from './applyPatch';
import type ConfigurationSnapshot from './ConfigurationSnapshot';
import type PatchOutcome from './PatchOutcome';

/** Length of the digest that is stored for each patch id, in bytes. */
const DIGEST_BYTES = 16;
/** Number of digests that the buffer has room for beyond those of the snapshot. */
const INITIAL_CAPACITY = 1024;

function computeDigest(id: string): Buffer {
  return createHash('sha256').update(id).digest().subarray(0, DIGEST_BYTES);
}

/** The accepted configuration and a digest of the id of the patch that created each version. */
export default class AcceptedPatches {
  /** The latest accepted version. */
  latest: VersionedConfiguration;

  /** Digests of patch ids, version 1 first. Its length is the capacity. */
  private digests: Buffer;

  /**
   * @param snapshot - the state to start from
   */
  constructor(snapshot: ConfigurationSnapshot) {
    this.latest = snapshot.latest;
    this.digests = Buffer.alloc(snapshot.idDigests.length + INITIAL_CAPACITY * DIGEST_BYTES);
    this.digests.set(snapshot.idDigests);
  }

  /**
   * Applies a committed patch. A patch that does not apply is skipped, equally on every replica.
   *
   * @param patch - the committed patch
   */
  applyCommitted(patch: ConfigurationPatch): void {
    const next = applyPatch(this.latest, patch);
    if (next.err) return;
    const offset = patch.base * DIGEST_BYTES;
    if (offset + DIGEST_BYTES > this.digests.length) {
      this.digests = Buffer.concat([this.digests, Buffer.alloc(this.digests.length)]);
    }
    computeDigest(patch.id).copy(this.digests, offset);
    this.latest = next.val;
  }

  /**
   * Returns the outcome of a patch, as far as this replica knows.
   *
   * @param id - id of the patch
   * @param base - version that the patch was created for
   * @returns the outcome; only `undecided` may be out of date
   */
  outcome(id: string, base: number): PatchOutcome {
    const { version } = this.latest;
    if (base >= version) return { outcome: 'undecided', version };
    const offset = base * DIGEST_BYTES;
    const isSame = computeDigest(id).equals(this.digests.subarray(offset, offset + DIGEST_BYTES));
    return { outcome: isSame ? 'accepted' : 'superseded', version: base + 1 };
  }

  /** @returns a copy that later patches do not modify */
  snapshot(): ConfigurationSnapshot {
    const idDigests = new Uint8Array(this.digests.subarray(0, this.latest.version * DIGEST_BYTES));
    return { latest: this.latest, idDigests };
  }
}
