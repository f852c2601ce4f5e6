import type { Readable } from 'node:stream';

/** A request as it is sent to a target. */
interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** Header names and values in turn. */
  readonly headers: readonly string[];
  /** The body, or null for a request without one. It is destroyed if sending fails. */
  readonly body: Readable | null;
}

export default TargetRequest;
