import type { Socket } from 'node:net';

/**
 * A connection of Node's HTTP server, with what the server itself uses to stop reading from a
 * client that does not read its responses. Node has no public interface for this.
 */
interface ParsedSocket extends Socket {
  parser?: { pause: () => void; resume: () => void; onIncoming: () => number } | null;
  /** Whether the server does not read; it reads on once its responses have been sent. */
  _paused?: boolean;
  _handle?: { reading: boolean; readStart: () => void; readStop: () => void } | null;
}

export default ParsedSocket;
