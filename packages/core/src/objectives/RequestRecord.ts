import type ErrorKind from '../errors/ErrorKind';

/** What is remembered of one caller's request until its response is closed. */
interface RequestRecord {
  /** Identifies the request in logs; taken from the caller or made by the entry. */
  requestId: string;
  /** Moment of arrival on the monotonic clock, in milliseconds. */
  startedAtMs: number;
  /** Service of the request; undefined until a route has matched. */
  serviceName: string | undefined;
  /** The only regions that may serve the request; undefined where every region may. */
  homeRegions: readonly string[] | undefined;
  /** Data centre of the target that the last attempt went to. */
  targetDataCentre: string | undefined;
  /** The failure that the caller was answered with, or that cut its answer. */
  failure: ErrorKind | undefined;
  /** Whether another entry answers the request and counts it there. */
  isRelayed: boolean;
}

export default RequestRecord;
