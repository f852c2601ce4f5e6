import type TargetRecord from '@guavayard/core/types/TargetRecord';

/** Tells every entry a record. */
interface PublishEffect {
  readonly kind: 'publish';
  readonly record: TargetRecord;
}

/** Tells a record to one entry, which knows an older one. */
interface ReplyEffect {
  readonly kind: 'reply';
  readonly to: string;
  readonly record: TargetRecord;
}

/** Tells every entry that this one no longer holds a target. */
interface ReleaseEffect {
  readonly kind: 'release';
  readonly targetId: string;
  readonly isExpired: boolean;
}

/** Passes a heartbeat on to the entry that holds the target. */
interface HeartbeatEffect {
  readonly kind: 'heartbeat';
  readonly to: string;
  readonly targetId: string;
  readonly startId: string;
}

/** What a directory wants other entries to be told. */
type DirectoryEffect = PublishEffect | ReplyEffect | ReleaseEffect | HeartbeatEffect;

export default DirectoryEffect;
