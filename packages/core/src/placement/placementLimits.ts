/**
 * Limits and weights of target placement, sized for the load of a day with noisy neighbours.
 */
const placementLimits = {
  /** Age above which a reading is no longer used to estimate the load, in milliseconds. */
  readingMaxAgeMs: 1000,
  /** Age above which a reading is not used to estimate the current slowness, in milliseconds. */
  speedMaxAgeMs: 20,
  /** Expected slowness of a target that is slowed 5 times for a quarter of the time. */
  unknownSlowness: 2,
  /** Age below which a reading is not refreshed by a probe, in milliseconds. */
  freshReadingMs: 5,
  /** Age of the last probe above which a target is probed, however fresh its reading is, in ms. */
  freshProbeMs: 100,
  /** Targets in the first probe round; others follow if none is free and at its usual speed. */
  firstProbes: 3,
  /** Targets in the first two probe rounds together. */
  secondProbes: 5,
  /** Most targets probed for one selection. */
  maxProbes: 8,
  /** Most targets probed for one selection in a region reached over a slow link. */
  maxRemoteProbes: 4,
  /** Share of used slots above which work on a target slows down: the concurrency knee. */
  kneeShare: 0.8,
  /** Factor by which work takes longer above the knee, until the service has enough samples. */
  kneeFactor: 1.3,
  /** Slowness up to which a target counts as working at its usual speed. */
  usualSlowness: 1.3,
  /** Highest cost of a target that is accepted while a request can still wait for a better one. */
  maxCostWhileWaiting: 2.3,
  /** Share of failures at which a target is ejected. */
  ejectShare: 0.5,
  /** Weight of the newest response in the share of failures. */
  failureWeight: 0.25,
  /** Weight of the newest request in the share of refused requests. */
  rejectWeight: 0.35,
  /** Half-life of that share while the target gets no requests, in milliseconds. */
  rejectHalfLifeMs: 3000,
  /** Cost added for a target that refuses every request, as a multiple of its cost. */
  rejectCost: 2,
  /** Added to the rank of a target that needs a new connection. */
  connectPenalty: 0.5,
  /** Subtracted from the rank of a target whose request limit leaves this entry a share. */
  limitPreference: 1,
  /** How long before its expiry an idle connection is refreshed by a probe, in milliseconds. */
  idleMarginMs: 4000,
  /** Targets of each service to which idle connections are kept open. */
  keepAliveTargets: 4,
  /** Assumed idle timeout of targets that report none, in milliseconds. */
  defaultIdleMs: 8000,
  /** Time without being considered for a request after which no connection is kept, in ms. */
  keepForMs: 60_000,
  ejectMs: 1500,
  maxEjectMs: 8000,
  /**
   * Share of the cold rate limit for the entries that know each other; the rest is for those that
   * have just started and those that control may have lost.
   */
  coldRateShare: 0.75,
  coldWindowMs: 1000,
  /**
   * Time without control after which an entry may be missing from the rosters of the others, in
   * milliseconds. Control drops it after three seconds, and the others wait for `rosterSettleMs`.
   */
  rosterLostMs: 2000,
  /**
   * Time for which a share must also fit earlier rosters, in milliseconds: the longest time by
   * which entries learn of a roster at different moments, and the window of the limit.
   */
  rosterSettleMs: 3000,
} as const;

export default placementLimits;
