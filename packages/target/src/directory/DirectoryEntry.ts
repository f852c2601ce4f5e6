import type TargetRecord from '@guavayard/core/types/TargetRecord';

/** What a directory keeps of one target. */
interface DirectoryEntry {
  readonly record: TargetRecord;
  /** Whether requests may go to the target; a silent or withdrawn one is kept for its version. */
  readonly isLive: boolean;
  /** When a live target expires, or the record of another is forgotten. */
  readonly endsAtMs: number;
  /** When the holder last vouched for the target; -Infinity once it is lost or has released it. */
  readonly vouchedAtMs: number;
}

export default DirectoryEntry;
