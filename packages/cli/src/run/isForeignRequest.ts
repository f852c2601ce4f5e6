import type RequestRecord from '@guavayard/core/objectives/RequestRecord';

/**
 * Tells whether a request must leave no trace in a region, because it has home regions elsewhere.
 *
 * @param record - the request
 * @param region - region of this VM
 * @returns true if the region is not one of its home regions
 */
export default function isForeignRequest(record: RequestRecord, region: string): boolean {
  return record.homeRegions !== undefined && !record.homeRegions.includes(region);
}
