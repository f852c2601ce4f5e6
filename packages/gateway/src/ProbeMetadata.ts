import type LoadFigures from '@guavayard/core/placement/LoadFigures';

/** Metadata of a response to a probe, read from its headers. */
interface ProbeMetadata {
  /** Id of the target that responded. */
  readonly targetId: string | undefined;
  readonly load: LoadFigures | undefined;
  /** Remaining warm-up time of the target, in milliseconds; undefined if it reports none. */
  readonly coldLeftMs: number | undefined;
  /** Requests per second that the target takes from all entries; undefined if it names no limit. */
  readonly requestLimit: number | undefined;
  /** Time for which the target wants no requests, in milliseconds; undefined if it names none. */
  readonly restMs: number | undefined;
  /** Whether the target says that it is about to leave. */
  readonly isLeaving: boolean;
}

export default ProbeMetadata;
