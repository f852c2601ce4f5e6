/** Statuses with which a target turns a request away and may say when to come back. */
const REFUSAL_STATUSES = new Set([429, 503]);

/**
 * @param status - HTTP status
 * @returns true if a time to come back in the response is a wish of the target
 */
export default function isRefusalStatus(status: number): boolean {
  return REFUSAL_STATUSES.has(status);
}
