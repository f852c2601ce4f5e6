import type Failure from '../errors/Failure';

/** What happens to an exchange. */
type ExchangeEvent = (
  /** The scheduler gave a target. */
  | { readonly kind: 'assigned' }
  /** The scheduler refused the attempt, or it may not be dispatched any more. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  /** A connection was given to the attempt; its bytes may reach the target from now on. */
  | { readonly kind: 'connected' }
  | {
    readonly kind: 'headers';
    /** Whether the target says that it did not run the request. */
    readonly isMarkedNotRun: boolean;
    /** Whether the answer may be held back until it is complete. */
    readonly isHoldable: boolean;
  }
  | { readonly kind: 'data'; readonly bytes: number }
  | {
    readonly kind: 'end';
    /** Whether the body of the request can be sent once more. */
    readonly isBodyReplayable: boolean;
  }
  | {
    readonly kind: 'failed';
    readonly failure: Failure;
    readonly isBodyReplayable: boolean;
  }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'callerGone' }
);

export default ExchangeEvent;
