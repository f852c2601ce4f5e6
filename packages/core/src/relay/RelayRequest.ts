import type { Readable } from 'node:stream';

import type RelayAllowance from './RelayAllowance';
import type RelayedHead from './RelayedHead';

/** A request that is to be relayed to another entry. */
interface RelayRequest {
  readonly head: Omit<RelayedHead, 'remainingMs' | keyof RelayAllowance>;
  /** Takes what this entry gives up for the request, once another entry has agreed. */
  readonly takeAllowance: () => RelayAllowance;
  /** Returns the version of the declaration that is in force at this entry. */
  readonly version: () => number;
  /** Its deadline, in milliseconds of the monotonic clock. */
  readonly deadlineMs: number;
  /** The only regions to which the request may be sent; undefined if every region may get it. */
  readonly homeRegions: readonly string[] | undefined;
  /** Whether only an entry may get it that checks keys of tenants, which older builds do not. */
  readonly needsKeyCheck: boolean;
  /** Opens the body, once another entry has agreed to serve the request. */
  readonly openBody: () => Readable | null;
}

export default RelayRequest;
