import type { ServerResponse } from 'node:http';

import type RequestRecord from '@guavayard/core/objectives/RequestRecord';

const records = new WeakMap<ServerResponse, RequestRecord>();

/**
 * Returns the record of a request, identified by its response. Creates it on first use.
 *
 * @param res - the caller's response
 * @returns the record; the same object for the lifetime of the response
 */
export default function getRequestRecord(res: ServerResponse): RequestRecord {
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
