import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';

import { H3 } from 'h3';
import { toNodeHandler } from 'h3/node';

import type RequestHandler from './RequestHandler';

/** Longest header section of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** Longest time for the headers of a request to arrive. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Accepts callers' connections. It owns its server socket. */
export default class CallerListener {
  readonly server: Server;

  constructor(handler: RequestHandler) {
    const app = new H3().all('/**', async ({ runtime }) => {
      handler.handle(runtime?.node?.req as IncomingMessage, runtime?.node?.res as ServerResponse);
      // The answer is written to the Node response. A promise that settled would make the
      // adapter end that response a second time, which costs an error object a request.
      return new Promise<never>(() => {});
    });
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    }, toNodeHandler(app));
  }
}
