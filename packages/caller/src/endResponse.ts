import type { ServerResponse } from 'node:http';

/**
 * Completes a response; the last one of its connection only once the body of the request has been
 * read or its caller has gone. Node closes the connection after the last response, and unread bytes
 * would turn that into a reset, by which the caller may lose the response.
 *
 * @param res - the response to a caller, the body of whose request is read on or discarded
 * @param chunk - the last bytes of its body
 */
export default function endResponse(res: ServerResponse, chunk?: Uint8Array | string): void {
  const { req } = res;
  if (res.shouldKeepAlive || req.complete || req.destroyed) {
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
