import type TargetRecord from '@guavayard/core/types/TargetRecord';

/** Broadcasts a record to every entry. */
interface PublishEffect {
  readonly kind: 'publish';
  readonly record: TargetRecord;
}

/** Sends a record to one entry that has an older version. */
interface ReplyEffect {
  readonly kind: 'reply';
  readonly to: string;
  readonly record: TargetRecord;
}

/** Notifies every entry that this one no longer holds a target. */
interface ReleaseEffect {
  readonly kind: 'release';
  readonly targetId: string;
  readonly isExpired: boolean;
}

/** Forwards a heartbeat to the entry that holds the target. */
interface HeartbeatEffect {
  readonly kind: 'heartbeat';
  readonly to: string;
  readonly targetId: string;
  readonly startId: string;
}

/** An update that a directory sends to other entries. */
type DirectoryEffect = PublishEffect | ReplyEffect | ReleaseEffect | HeartbeatEffect;

export default DirectoryEffect;
