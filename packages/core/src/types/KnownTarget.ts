import type TargetAnnouncement from './TargetAnnouncement';

/** A live target as an entry knows it. */
interface KnownTarget extends TargetAnnouncement {
  /** Name of the entry that owns the target, undefined while nobody does. */
  readonly owner: string | undefined;
}

export default KnownTarget;
