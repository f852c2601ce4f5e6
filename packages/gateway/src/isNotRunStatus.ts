/** Statuses that tell a caller that its request was not run and never will be. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/**
 * @param status - HTTP status
 * @returns true if callers take the status as proof that the request was not run
 */
export default function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
