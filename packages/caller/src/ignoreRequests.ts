import type { Socket } from 'node:net';

import type ParsedSocket from './ParsedSocket';

/** Tells the parser to expect the body that the head of a request announces. */
const EXPECT_BODY = 0;

/**
 * Has no responses created for further requests of a connection that is about to end: the parser
 * goes on with the chunk that it was given.
 *
 * @param socket - a connection of an HTTP server
 */
export default function ignoreRequests(socket: Socket): void {
  const { parser } = socket as ParsedSocket;
  if (parser !== undefined && parser !== null) parser.onIncoming = () => EXPECT_BODY;
}
