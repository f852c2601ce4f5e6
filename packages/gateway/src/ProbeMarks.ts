import type LoadFigures from '@guavayard/core/placement/LoadFigures';

/** What the headers of an answer to a probe say. */
interface ProbeMarks {
  /** The target that answered. */
  readonly targetId: string | undefined;
  readonly load: LoadFigures | undefined;
  /** How much longer the target stays cold, in milliseconds; undefined if it does not say. */
  readonly coldLeftMs: number | undefined;
}

export default ProbeMarks;
