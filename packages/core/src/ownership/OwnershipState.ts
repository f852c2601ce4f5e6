import type Member from './Member';

/** The entries as this one saw them from some moment on. */
interface MembershipView {
  readonly members: readonly Member[];
  /** When a later view replaced it; Infinity for the latest view. */
  readonly replacedAtMs: number;
}

/** What an entry knows to tell the owners of targets. */
interface OwnershipState {
  /** Name of this entry. */
  readonly self: string;
  /** The views in which another entry may still act as owner, the latest last. */
  views: MembershipView[];
  /** Grows whenever an owner may have changed. */
  epoch: number;
}

export default OwnershipState;
