import * as z from 'zod';

/** Why an entry does not take a request from another one. */
const RelayRefusal = z.enum([
  /** It cannot reach targets of the service either. */
  'unreachable',
  /** It is shutting down. */
  'stopping',
  /** Another version of the configuration is in force there. */
  'version',
  /** It serves as many relayed requests as it may. */
  'busy',
]);
type RelayRefusal = z.infer<typeof RelayRefusal>;

export default RelayRefusal;
