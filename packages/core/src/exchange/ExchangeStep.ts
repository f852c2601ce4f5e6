/**
 * Progress of the current attempt of an exchange.
 *
 * `queued`: waits for a target. `connecting`: waits for a connection; nothing has been written.
 * `sending`: bytes of the request may have reached the target. `answering`: the response headers
 * have arrived. `ended`: the caller has been answered or has disconnected.
 */
type ExchangeStep = 'queued' | 'connecting' | 'sending' | 'answering' | 'ended';

export default ExchangeStep;
