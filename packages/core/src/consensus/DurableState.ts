import type ConsensusState from './ConsensusState';

/** The part of the state that a replica restores from its disk when it starts. */
type DurableState = Pick<ConsensusState, 'term' | 'votedFor' | 'snapshot' | 'log'>;

export default DurableState;
