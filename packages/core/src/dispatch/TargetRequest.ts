import type { Readable } from 'node:stream';

/** A request in the form in which it is sent to a target. */
interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  /** The body, or null for a request without one. The stream is destroyed if sending fails. */
  readonly body: Readable | null;
}

export default TargetRequest;
