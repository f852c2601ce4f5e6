import type RequestRecord from '@guavayard/core/objectives/RequestRecord';

/**
 * Returns whether a request is restricted to home regions other than the given one, which must
 * therefore store and log nothing about it.
 *
 * @param record - the request
 * @param region - region of this VM
 * @returns true if the request has home regions and the given one is not among them
 */
export default function isRestrictedToOtherRegions(record: RequestRecord, region: string): boolean {
  return record.homeRegions !== undefined && !record.homeRegions.includes(region);
}
