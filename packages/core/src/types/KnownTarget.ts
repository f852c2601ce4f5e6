import type TargetAnnouncement from './TargetAnnouncement';

/** Live target as known to an entry. */
interface KnownTarget extends TargetAnnouncement {
  /** Name of the entry that owns the target, undefined if it has no owner. */
  readonly owner: string | undefined;
}

export default KnownTarget;
