import type { ServerResponse } from 'node:http';

/** Returns whether a caller can tell by the bytes sent so far that a response is complete. */
function hasLength(res: ServerResponse): boolean {
  return !res.chunkedEncoding && res.useChunkedEncodingByDefault;
}

/**
 * Completes a response; the last one of its connection only once the body of the request has been
 * read or its caller has gone, unless the caller would wait for its end. Node closes the connection
 * after the last response, of which a caller may hear while it still sends.
 *
 * @param res - the response to a caller, the body of whose request is read on or discarded
 * @param chunk - the last bytes of its body
 */
export default function endResponse(res: ServerResponse, chunk?: Uint8Array | string): void {
  const { req } = res;
  if (res.shouldKeepAlive || req.complete || req.destroyed || !hasLength(res)) {
    res.end(chunk);
    return;
  }
  if (chunk !== undefined) res.write(chunk);
  res.flushHeaders();
  const end = (): void => {
    if (!res.destroyed) res.end();
  };
  req.once('end', end);
  req.once('close', end);
}
