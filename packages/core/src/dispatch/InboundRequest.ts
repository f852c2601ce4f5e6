import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

/** A caller's request, received from the caller or from an entry that relays it; its body. */
type InboundRequest = Readable
  & Pick<IncomingMessage, 'method' | 'url' | 'headers' | 'rawHeaders' | 'complete'>
  & {
    readonly socket: {
      readonly remoteAddress?: string | undefined;
      /** Closes the connection for writing; absent if another entry relays the request. */
      readonly end?: () => unknown;
    };
  };

export default InboundRequest;
