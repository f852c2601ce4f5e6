/** Bounds of the time for which targets are left alone at their own request. */
const restLimits = {
  /** Longest time that is granted, in milliseconds: ten minutes, as the longest route timeout. */
  maxRestMs: 600_000,
  /** Share of the time by which entries spread their return to a target, at most. */
  spreadShare: 0.1,
  /** Upper bound of that spread, in milliseconds. */
  maxSpreadMs: 1000,
  /** Usual time until a target that returns has served its first request, in milliseconds. */
  returningMs: 100,
  /** Share of their wait by which refused callers are spread, at most. */
  callerSpreadShare: 0.2,
} as const;

export default restLimits;
