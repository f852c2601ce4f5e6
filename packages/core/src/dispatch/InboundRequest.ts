import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

/** A caller's request, received from the caller or from an entry that relays it; its body. */
type InboundRequest = Readable
  & Pick<IncomingMessage, 'method' | 'url' | 'headers' | 'rawHeaders' | 'complete'>
  & { readonly socket: { readonly remoteAddress?: string | undefined } };

export default InboundRequest;
