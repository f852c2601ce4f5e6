import type LoadFigures from '@guavayard/core/placement/LoadFigures';

/** Metadata of a response to a probe, read from its headers. */
interface ProbeMetadata {
  /** Id of the target that responded. */
  readonly targetId: string | undefined;
  readonly load: LoadFigures | undefined;
  /** Remaining warm-up time of the target, in milliseconds; undefined if it reports none. */
  readonly coldLeftMs: number | undefined;
}

export default ProbeMetadata;
