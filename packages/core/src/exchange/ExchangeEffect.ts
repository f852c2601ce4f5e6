import type Failure from '../errors/Failure';
import type AttemptResult from '../scheduling/AttemptResult';

/** Action that the driver of an exchange has to perform. */
type ExchangeEffect = (
  /** Requests a target from the scheduler. */
  | { readonly kind: 'schedule'; readonly purpose: 'first' | 'retry' }
  /** Sends the request to the assigned target. */
  | { readonly kind: 'dispatch' }
  /** Removes the request from the queue, or aborts the attempt and closes its connection. */
  | { readonly kind: 'cancel'; readonly failure: Failure }
  /** Releases the target and reports the result of the attempt to the scheduler. */
  | { readonly kind: 'finish'; readonly evidence: AttemptResult['evidence'] }
  /** Discards the buffered part of a response. */
  | { readonly kind: 'dropHeld' }
  /** Writes the response headers and the buffered part of the body to the caller. */
  | { readonly kind: 'forward' }
  /** Ends the response to the caller. */
  | { readonly kind: 'complete' }
  /** Sends an error response to the caller. */
  | { readonly kind: 'refuse'; readonly failure: Failure }
  /** Destroys the caller's connection, so that a truncated response is not taken for complete. */
  | { readonly kind: 'cut'; readonly failure: Failure }
);

export default ExchangeEffect;
