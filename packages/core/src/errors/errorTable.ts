import type ErrorDefinition from './ErrorDefinition';

/**
 * All error kinds, one for each way in which a request can fail.
 *
 * Codes are stable and never reused. The outcome is `not-run` only for failures that are detected
 * before any byte of the request can have reached a target.
 */
const errorTable = {
  malformedRequest: {
    code: 1, status: 400, outcome: 'not-run', retryable: false, text: 'the request is malformed',
  },
  unauthorized: {
    code: 2, status: 401, outcome: 'not-run', retryable: false, text: 'a valid token is required',
  },
  noRoute: {
    code: 3, status: 404, outcome: 'not-run', retryable: false, text: 'no route matches the request',
  },
  bodyTooLarge: {
    code: 4, status: 413, outcome: 'not-run', retryable: false, text: 'the request body is too large',
  },
  versionConflict: {
    code: 5,
    status: 409,
    outcome: 'not-run',
    retryable: false,
    text: 'the patch was made for another version',
  },
  invalidPatch: {
    code: 6,
    status: 422,
    outcome: 'not-run',
    retryable: false,
    text: 'the patch does not give a valid configuration',
  },
  invalidAnnouncement: {
    code: 7, status: 422, outcome: 'not-run', retryable: false, text: 'the announcement is invalid',
  },
  noConfiguration: {
    code: 8,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'no configuration is in force on this VM',
  },
  noTarget: {
    code: 9, status: 503, outcome: 'not-run', retryable: true, text: 'no target can take the request',
  },
  shuttingDown: {
    code: 10, status: 503, outcome: 'not-run', retryable: true, text: 'this VM is shutting down',
  },
  targetUnreachable: {
    code: 11, status: 502, outcome: 'not-run', retryable: true, text: 'the target refused the connection',
  },
  targetFailed: {
    code: 12,
    status: 502,
    outcome: 'unknown',
    retryable: false,
    text: 'the target failed after the request was sent',
  },
  deadlineExceeded: {
    code: 13, status: 504, outcome: 'unknown', retryable: false, text: 'the deadline passed before the answer',
  },
  callerGone: {
    code: 14, status: 499, outcome: 'unknown', retryable: false, text: 'the caller closed the connection',
  },
  noQuorum: {
    code: 15,
    status: 503,
    outcome: 'unknown',
    retryable: true,
    text: 'no quorum of control VMs confirmed the patch',
  },
  internal: {
    code: 16, status: 500, outcome: 'unknown', retryable: false, text: 'an internal error',
  },
  overloaded: {
    code: 17, status: 503, outcome: 'not-run', retryable: true, text: 'all targets are busy',
  },
  deadlineUnreachable: {
    code: 18,
    status: 504,
    outcome: 'not-run',
    retryable: true,
    text: 'the request cannot be answered before its deadline',
  },
  attemptBudgetExhausted: {
    code: 19,
    status: 503,
    outcome: 'not-run',
    retryable: false,
    text: 'the budget for further attempts is used up',
  },
  leaseLapsed: {
    code: 20,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'this VM cannot confirm the latest configuration',
  },
  deadlineBeforeDispatch: {
    code: 21,
    status: 504,
    outcome: 'not-run',
    retryable: true,
    text: 'the deadline passed before the request was sent',
  },
  unframedAnswer: {
    code: 22,
    status: 502,
    outcome: 'unknown',
    retryable: false,
    text: 'the answer of the target has neither a length nor a terminator',
  },
  headersTooLarge: {
    code: 23,
    status: 431,
    outcome: 'not-run',
    retryable: false,
    text: 'the headers of the request are too large',
  },
  headersTooSlow: {
    code: 24,
    status: 408,
    outcome: 'not-run',
    retryable: true,
    text: 'the headers of the request did not arrive in time',
  },
  keyConflict: {
    code: 25,
    status: 422,
    outcome: 'not-run',
    retryable: false,
    text: 'the idempotency key was used with another request',
  },
  keyUnavailable: {
    code: 26,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'the idempotency key cannot be recorded now',
  },
  keyOutcomeUnknown: {
    code: 27,
    status: 409,
    outcome: 'unknown',
    retryable: false,
    text: 'an earlier request with this idempotency key was sent and its answer is not known',
  },
  answerNotStored: {
    code: 28,
    status: 409,
    outcome: 'ran',
    retryable: false,
    text: 'the request with this idempotency key ran and its answer was too large to be stored',
  },
  noHomeEntry: {
    code: 29,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'no entry in the home regions of the request can be reached',
  },
  requestQuarantined: {
    code: 30,
    status: 503,
    outcome: 'not-run',
    retryable: false,
    text: 'the request crashed the targets that ran it',
  },
  targetsUnreachable: {
    code: 31,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'this VM cannot reach the targets, and no other entry takes the request',
  },
  relayFailed: {
    code: 32,
    status: 502,
    outcome: 'unknown',
    retryable: false,
    text: 'the entry that the request was relayed to did not complete it',
  },
  staleAnnouncement: {
    code: 33,
    status: 409,
    outcome: 'not-run',
    retryable: false,
    text: 'a later announcement of the target, or of another one at its address, is in force',
  },
  overtaken: {
    code: 34,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'the call came late: its caller may have moved on, or a later call is in force',
  },
  quotaExceeded: {
    code: 35,
    status: 429,
    outcome: 'not-run',
    retryable: true,
    text: 'the tenant has used up its quota',
  },
  keysUnproven: {
    code: 36,
    status: 503,
    outcome: 'not-run',
    retryable: true,
    text: 'this VM cannot confirm that the key is still in force',
  },
  rolloutInProgress: {
    code: 37,
    status: 409,
    outcome: 'not-run',
    retryable: false,
    text: 'another version of the service is brought in at present',
  },
  rolloutRefused: {
    code: 38,
    status: 422,
    outcome: 'not-run',
    retryable: false,
    text: 'the order does not name a version that can be brought in',
  },
  noRollout: {
    code: 39,
    status: 404,
    outcome: 'not-run',
    retryable: false,
    text: 'there was no roll-out of the service',
  },
} as const satisfies Readonly<Record<string, ErrorDefinition>>;

export default errorTable;
