import type Member from './Member';

/** Membership of entries as this entry saw it during some period. */
interface MembershipView {
  readonly members: readonly Member[];
  /** When a later view replaced this one, in milliseconds; Infinity for the latest view. */
  readonly replacedAtMs: number;
}

/** State from which an entry determines the owners of targets. */
interface OwnershipState {
  /** Name of this entry. */
  readonly self: string;
  /** Views on which any entry may still act, the latest last. */
  views: MembershipView[];
  /** Incremented whenever an owner may have changed. */
  epoch: number;
}

export default OwnershipState;
