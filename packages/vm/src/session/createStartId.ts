import { randomBytes } from 'node:crypto';

import protocolVersion from './protocolVersion';

const START_ID_BYTES = 8;

/**
 * Creates the id of a start of the process. It ends with the version of the messages that this
 * build understands, as builds of version 1 refuse a handshake with further fields.
 *
 * @returns the start id
 */
export default function createStartId(): string {
  return `${randomBytes(START_ID_BYTES).toString('hex')}.${protocolVersion}`;
}
