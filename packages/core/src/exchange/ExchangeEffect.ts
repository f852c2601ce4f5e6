import type Failure from '../errors/Failure';
import type AttemptResult from '../scheduling/AttemptResult';

/** What is to be done for an exchange, in the order given. */
type ExchangeEffect = (
  /** Ask the scheduler for a target. */
  | { readonly kind: 'schedule'; readonly purpose: 'first' | 'retry' }
  /** Send the request to the target that was assigned. */
  | { readonly kind: 'dispatch' }
  /** Leave the queue, or abort the attempt and close its connection. */
  | { readonly kind: 'cancel'; readonly failure: Failure }
  /** Give the target back. */
  | { readonly kind: 'finish'; readonly evidence: AttemptResult['evidence'] }
  /** Drop what is held of an answer. */
  | { readonly kind: 'dropHeld' }
  /** Write the headers of the answer and what is held of its body to the caller. */
  | { readonly kind: 'forward' }
  /** End the answer to the caller. */
  | { readonly kind: 'complete' }
  /** Answer the caller with a failure. */
  | { readonly kind: 'refuse'; readonly failure: Failure }
  /** Destroy the caller's connection, so that a part cannot be taken for the whole. */
  | { readonly kind: 'cut'; readonly failure: Failure }
);

export default ExchangeEffect;
