import type ConsensusMessage from './ConsensusMessage';

/** Consensus message of the given kind. */
type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<ConsensusMessage, { kind: Kind }>;

export default MessageOf;
