/**
 * How far the current attempt of an exchange has come.
 *
 * `queued`: waits for a target. `connecting`: waits for a connection, nothing is written.
 * `sending`: bytes of the request may have reached the target. `answering`: the headers of the
 * answer have arrived. `ended`: the caller is answered or gone.
 */
type ExchangeStep = 'queued' | 'connecting' | 'sending' | 'answering' | 'ended';

export default ExchangeStep;
