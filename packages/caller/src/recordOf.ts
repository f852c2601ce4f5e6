import type { ServerResponse } from 'node:http';

import type RequestRecord from '@guavayard/core/objectives/RequestRecord';

const records = new WeakMap<ServerResponse, RequestRecord>();

/**
 * Finds the record of a request by its response.
 *
 * @param res - the caller's response
 * @returns the record; the same one until the response is gone
 */
export default function recordOf(res: ServerResponse): RequestRecord {
  const known = records.get(res);
  if (known !== undefined) return known;
  const record: RequestRecord = {
    requestId: '',
    startedAtMs: 0,
    serviceName: undefined,
    homeRegions: undefined,
    targetDataCentre: undefined,
    failure: undefined,
    isRelayed: false,
  };
  records.set(res, record);
  return record;
}
