import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import type ConsensusSnapshot from '@guavayard/core/consensus/ConsensusSnapshot';
import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';

/** Receiver of what a replica commits. */
interface ConsensusListener {
  /** Entries are committed, in order; applies them. */
  onCommit: (entries: readonly LogEntry[]) => void;
  /** A snapshot replaces all that was applied. */
  onRestore: (snapshot: ConsensusSnapshot) => void;
  onLeader: (leader: ReplicaId | undefined) => void;
  /** @returns what is applied up to now */
  createSnapshot: () => ConfigurationSnapshot;
}

export default ConsensusListener;
