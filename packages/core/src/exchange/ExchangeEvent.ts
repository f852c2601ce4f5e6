import type Failure from '../errors/Failure';

/** Input event of the state machine of an exchange. */
type ExchangeEvent = (
  /** The scheduler assigned a target. */
  | { readonly kind: 'assigned' }
  /** The scheduler refused the attempt, or the attempt may no longer be dispatched. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  /** The attempt has a connection; from now on its bytes may reach the target. */
  | { readonly kind: 'connected' }
  | {
    readonly kind: 'headers';
    /** Whether the target declares that it did not run the request. */
    readonly isMarkedNotRun: boolean;
    /** Whether the response may be buffered until it is complete. */
    readonly isHoldable: boolean;
  }
  | { readonly kind: 'data'; readonly bytes: number }
  | {
    readonly kind: 'end';
    /** Whether the request body can be sent again. */
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
