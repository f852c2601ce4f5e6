import type { Readable } from 'node:stream';

/** A request in the form in which it is sent to a target. */
interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  /** The body, or null for a request without one. The stream is destroyed if sending fails. */
  readonly body: Readable | null;
  /**
   * A probe tells which process a target is; a bound request is sent only to the process that a
   * probe has told of, and fails unsent otherwise. Undefined for neither.
   */
  readonly purpose?: 'probe' | 'bound';
}

export default TargetRequest;
