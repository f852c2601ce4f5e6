import type RelayedHead from './RelayedHead';

/**
 * What an entry gives up of its own shares with a request that it relays, so that the entry which
 * serves it may use as much more: the sums over all entries stay the same.
 */
type RelayAllowance = Pick<RelayedHead, 'permittedIds' | 'probes'>;

export default RelayAllowance;
