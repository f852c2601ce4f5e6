import type ConfigurationSnapshot from '@guavayard/core/configuration/ConfigurationSnapshot';
import type ConsensusSnapshot from '@guavayard/core/consensus/ConsensusSnapshot';
import type LogEntry from '@guavayard/core/consensus/LogEntry';
import type ReplicaId from '@guavayard/core/consensus/ReplicaId';

/** Applies the committed log of a replica and follows its leader. */
interface ConsensusListener {
  /** Applies newly committed entries, in log order. */
  onCommit: (entries: readonly LogEntry[]) => void;
  /** Replaces the applied state by a snapshot. */
  onRestore: (snapshot: ConsensusSnapshot) => void;
  /** Reports that the applied state is no longer that of the last snapshot; called once. */
  onCaughtUp?: () => void;
  onLeaderChange: (leader: ReplicaId | undefined) => void;
  /** @returns a snapshot of the applied state */
  createSnapshot: () => ConfigurationSnapshot;
}

export default ConsensusListener;
