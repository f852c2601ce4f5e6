/** Thresholds for judging a version. `rolloutJudge.test.ts` measures the error rates. */
const judgeLimits = {
  /**
   * Evidence against a version at which it is taken back: the logarithm of how much likelier its
   * responses are if it is bad.
   */
  alarmLevel: 9,
  /**
   * Evidence from which on a version is not given all requests. That of failures is lower: the
   * smallest share that is taken to be usual is several times that of a sound service.
   */
  doubtLevels: { failures: 3, latency: 4.5 },
  /**
   * Evidence that the responses of one interval add at most, as a part of `alarmLevel`. They may
   * have one cause that is not the version, such as the loss of a machine.
   */
  maxStepShare: 1 / 3,
  /**
   * Shares of bad responses by which a bad version may exceed those in force. Evidence is added
   * up for each: the larger one finds a version that is wholly bad from fewer responses.
   */
  excesses: [0.15, 0.5],
  /** Standard errors of the usual share of slow responses that are added to it. */
  slowShareErrors: 0.6,
  /** Smallest share of failures that is taken to be usual. */
  minFailedShare: 0.01,
  /** Smallest share of slow responses that is taken to be usual. */
  minSlowShare: 0.03,
  /** A response is slow from this multiple of the median of the versions in force. */
  slowFactor: 1.8,
  /** Half-life of the responses that the versions in force are known by, in milliseconds. */
  baseHalfLifeMs: 2000,
  /**
   * Responses of the whole route that count as much as those from one data centre: of few
   * responses, the shares would be mostly chance.
   */
  priorResponses: 30,
  /** Responses of the versions in force from which on a route is judged. */
  minBaseResponses: 10,
  /** Responses of the target version without which it is not called good. */
  minResponses: 3,
} as const;

export default judgeLimits;
