import type ConsensusState from './ConsensusState';

/** What a replica reads from its disk when it starts. */
type DurableState = Pick<ConsensusState, 'term' | 'votedFor' | 'snapshot' | 'log'>;

export default DurableState;
