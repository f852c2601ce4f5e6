import type ConsensusMessage from './ConsensusMessage';

/** The consensus message of one kind. */
type MessageOf<Kind extends ConsensusMessage['kind']> = Extract<ConsensusMessage, { kind: Kind }>;

export default MessageOf;
