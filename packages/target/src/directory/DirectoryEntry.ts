import type TargetRecord from '@guavayard/core/types/TargetRecord';

/** State that a directory keeps for one target. */
interface DirectoryEntry {
  readonly record: TargetRecord;
  /** Whether requests may go to the target; an expired or withdrawn one is kept for its version. */
  readonly isLive: boolean;
  /** When a live target expires, or when the record of one that is not live is deleted. */
  readonly endsAtMs: number;
  /** When the holder last confirmed the target; -Infinity once it is lost or has released it. */
  readonly confirmedAtMs: number;
}

export default DirectoryEntry;
