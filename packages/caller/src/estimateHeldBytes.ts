import type { IncomingMessage } from 'node:http';

/** Objects of a request and of its response, as measured with pipelined requests. */
const REQUEST_BYTES = 4096;
/** A head is kept as it arrived and as a table, and the response may repeat parts of it. */
const HEAD_COPIES = 4;
/**
 * Bytes of a body that a request holds at most without a budget of its own: 64 KiB for a repeat,
 * the chunk that was read last, and as much in the buffers of the system.
 */
const BODY_BYTES = 192 * 1024;

interface HeldBytes {
  readonly requests: number;
  readonly bodies: number;
}

/**
 * Estimates what a request holds until it has been answered and read.
 *
 * @param req - the request, whose head has arrived
 * @returns the bytes, by kind
 */
export default function estimateHeldBytes(
  { headers, rawHeaders, url = '' }: IncomingMessage,
): HeldBytes {
  const headBytes = rawHeaders.reduce((sum, { length }) => sum + length, url.length);
  const isChunked = headers['transfer-encoding'] !== undefined;
  const length = isChunked ? Infinity : Number(headers['content-length'] ?? 0);
  return {
    requests: REQUEST_BYTES + HEAD_COPIES * headBytes,
    bodies: Math.min(BODY_BYTES, Math.max(0, length) || 0),
  };
}
