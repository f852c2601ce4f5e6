import errorTable from '../errors/errorTable';
import type Failure from '../errors/Failure';
import type ExchangeEffect from './ExchangeEffect';
import type ExchangeEvent from './ExchangeEvent';
import type ExchangeState from './ExchangeState';
import failureProofs from './failureProofs';

/** Longest part of an answer that is held back, in bytes. */
const MAX_HELD_BYTES = 64 * 1024;

function endWith(state: ExchangeState, failure: Failure): ExchangeEffect[] {
  state.step = 'ended';
  if (state.isForwarding) return [{ kind: 'cut', failure }];
  const saysNotRun = errorTable[failure.kind].outcome === 'not-run';
  // A later attempt that did not run proves nothing about an earlier one that may have.
  const told = saysNotRun ? state.uncertainFailure ?? failure : failure;
  return [{ kind: 'refuse', failure: told }];
}

function retry(state: ExchangeState): ExchangeEffect[] {
  state.retriesLeft -= 1;
  state.step = 'queued';
  state.heldBytes = 0;
  state.isMarkedNotRun = false;
  return [{ kind: 'dropHeld' }, { kind: 'schedule', purpose: 'retry' }];
}

function forward(state: ExchangeState): ExchangeEffect[] {
  state.isForwarding = true;
  return [{ kind: 'forward' }];
}

function takeFailure(
  state: ExchangeState,
  failure: Failure,
  isBodyReplayable: boolean,
): ExchangeEffect[] {
  const { outcome, evidence } = failureProofs[state.step];
  const finish: ExchangeEffect = { kind: 'finish', evidence };
  if (outcome !== 'not-run') state.uncertainFailure ??= failure;
  const isSafe = outcome === 'not-run' ? errorTable[failure.kind].retryable : state.isIdempotent;
  const isRetried = isSafe && isBodyReplayable && !state.isForwarding && state.retriesLeft > 0;
  return [finish, ...(isRetried ? retry(state) : endWith(state, failure))];
}

function takeEnd(state: ExchangeState, isBodyReplayable: boolean): ExchangeEffect[] {
  if (state.isMarkedNotRun && isBodyReplayable && state.retriesLeft > 0 && !state.isForwarding) {
    return [{ kind: 'finish', evidence: 'refused' }, ...retry(state)];
  }
  const begin = state.isForwarding ? [] : forward(state);
  state.step = 'ended';
  const evidence = state.isMarkedNotRun ? 'refused' : 'answered';
  return [{ kind: 'finish', evidence }, ...begin, { kind: 'complete' }];
}

function giveUp(state: ExchangeState, failure: Failure): ExchangeEffect[] {
  const isSent = state.step !== 'queued';
  const isAnswered = failure.kind !== 'callerGone';
  const effects: ExchangeEffect[] = [{ kind: 'cancel', failure }];
  if (isSent) effects.push({ kind: 'finish', evidence: 'cancelled' });
  const ended = endWith(state, failure);
  return isAnswered ? [...effects, ...ended] : effects;
}

function takeDeadline(state: ExchangeState): ExchangeEffect[] {
  const { outcome } = failureProofs[state.step];
  const isProved = outcome === 'not-run' && state.uncertainFailure === undefined;
  const kind = isProved ? 'deadlineBeforeDispatch' : 'deadlineExceeded';
  return giveUp(state, { kind, detail: '' });
}

/**
 * Takes one event of an exchange.
 *
 * Invariants: at most one attempt is under way; each attempt that was assigned is finished once;
 * nothing follows the end; a failure says `not-run` only if no attempt can have run.
 *
 * @param state - the exchange, changed in place
 * @param event - what happened
 * @returns what is to be done, in order
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
      return endWith(state, event.failure);
    case 'connected':
      state.step = 'sending';
      return [];
    case 'headers':
      state.step = 'answering';
      state.isMarkedNotRun = event.isMarkedNotRun;
      return event.isHoldable ? [] : forward(state);
    case 'data':
      state.heldBytes += event.bytes;
      return state.isForwarding || state.heldBytes <= MAX_HELD_BYTES ? [] : forward(state);
    case 'end':
      return takeEnd(state, event.isBodyReplayable);
    case 'failed':
      return takeFailure(state, event.failure, event.isBodyReplayable);
    case 'deadline':
      return takeDeadline(state);
    case 'callerGone':
      return giveUp(state, { kind: 'callerGone', detail: '' });
    default:
      return [];
  }
}
