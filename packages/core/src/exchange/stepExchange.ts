import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import type ExchangeEffect from './ExchangeEffect';
import type ExchangeEvent from './ExchangeEvent';
import type ExchangeState from './ExchangeState';
import failureProofs from './failureProofs';

/** Maximum size of the buffered part of a response, in bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;

function endWithFailure(state: ExchangeState, failure: Failure): ExchangeEffect[] {
  state.step = 'ended';
  if (state.isForwarding) return [{ kind: 'cut', failure }];
  const claimsNotRun = errorTable[failure.kind].outcome === 'not-run';
  // If a later attempt did not run, an earlier uncertain attempt may still have run.
  const reported = claimsNotRun ? state.uncertainFailure ?? failure : failure;
  return [{ kind: 'refuse', failure: reported }];
}

function retry(state: ExchangeState): ExchangeEffect[] {
  state.retriesLeft -= 1;
  state.step = 'queued';
  state.bufferedBytes = 0;
  state.isMarkedNotRun = false;
  return [{ kind: 'dropHeld' }, { kind: 'schedule', purpose: 'retry' }];
}

function forward(state: ExchangeState): ExchangeEffect[] {
  state.isForwarding = true;
  return [{ kind: 'forward' }];
}

function handleFailure(
  state: ExchangeState,
  failure: Failure,
  isBodyReplayable: boolean,
): ExchangeEffect[] {
  const { outcome, evidence } = failureProofs[state.step];
  const finish: ExchangeEffect = { kind: 'finish', evidence };
  if (outcome !== 'not-run') state.uncertainFailure ??= failure;
  const isSafe = outcome === 'not-run' ? errorTable[failure.kind].retryable : state.isIdempotent;
  const isRetried = isSafe && isBodyReplayable && !state.isForwarding && state.retriesLeft > 0;
  return [finish, ...(isRetried ? retry(state) : endWithFailure(state, failure))];
}

function handleEnd(state: ExchangeState, isBodyReplayable: boolean): ExchangeEffect[] {
  if (state.isMarkedNotRun && isBodyReplayable && state.retriesLeft > 0 && !state.isForwarding) {
    return [{ kind: 'finish', evidence: 'refused' }, ...retry(state)];
  }
  const forwarding = state.isForwarding ? [] : forward(state);
  state.step = 'ended';
  const evidence = state.isMarkedNotRun ? 'refused' : 'answered';
  return [{ kind: 'finish', evidence }, ...forwarding, { kind: 'complete' }];
}

function abandon(state: ExchangeState, failure: Failure): ExchangeEffect[] {
  const isAssigned = state.step !== 'queued';
  const isAnswered = failure.kind !== 'callerGone';
  const effects: ExchangeEffect[] = [{ kind: 'cancel', failure }];
  if (isAssigned) effects.push({ kind: 'finish', evidence: 'cancelled' });
  const ended = endWithFailure(state, failure);
  return isAnswered ? [...effects, ...ended] : effects;
}

function handleDeadline(state: ExchangeState): ExchangeEffect[] {
  const { outcome } = failureProofs[state.step];
  const isProvedNotRun = outcome === 'not-run' && state.uncertainFailure === undefined;
  const kind = isProvedNotRun ? 'deadlineBeforeDispatch' : 'deadlineExceeded';
  return abandon(state, { kind, detail: '' });
}

/**
 * Advances the state machine of an exchange by one event.
 *
 * Invariants: at most one attempt is in progress; every assigned attempt is finished exactly once;
 * an ended exchange has no further effects; a failure reports `not-run` only if no attempt can have
 * run.
 *
 * @param state - the exchange, mutated in place
 * @param event - the event to apply
 * @returns the effects to perform, in order
 */
export default function stepExchange(
  state: ExchangeState,
  event: ExchangeEvent,
): ExchangeEffect[] {
  if (state.step === 'ended') return [];
  switch (event.kind) {
    case 'assigned':
      state.step = 'connecting';
      state.attempts += 1;
      return [{ kind: 'dispatch' }];
    case 'refused':
      return endWithFailure(state, event.failure);
    case 'connected':
      state.step = 'sending';
      return [];
    case 'headers':
      state.step = 'answering';
      state.isMarkedNotRun = event.isMarkedNotRun;
      return event.isHoldable ? [] : forward(state);
    case 'data':
      state.bufferedBytes += event.bytes;
      return state.isForwarding || state.bufferedBytes <= MAX_BUFFERED_BYTES ? [] : forward(state);
    case 'end':
      return handleEnd(state, event.isBodyReplayable);
    case 'failed':
      return handleFailure(state, event.failure, event.isBodyReplayable);
    case 'deadline':
      return handleDeadline(state);
    case 'callerGone':
      return abandon(state, { kind: 'callerGone', detail: '' });
    default:
      return [];
  }
}
