import type LoadFigures from '@guavayard/core/placement/LoadFigures';

/** Metadata of a target's response, read from its headers. */
interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the response has the target's signature, which confirms its origin. */
  readonly isSigned: boolean;
  /** Whether the target states that it did not run the request. */
  readonly isMarkedNotRun: boolean;
  /** Whether an intermediary encoded the body, so that it differs from the target's body. */
  readonly isEncoded: boolean;
  readonly load: LoadFigures | undefined;
  /** Requests per second that the target takes from all entries; undefined if it names no limit. */
  readonly requestLimit: number | undefined;
  /** Time for which the target wants no requests, in milliseconds; undefined if it names none. */
  readonly restMs: number | undefined;
  /** Whether the target says that it is about to leave. */
  readonly isLeaving: boolean;
}

export default ResponseMetadata;
