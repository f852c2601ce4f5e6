import * as z from 'zod';

/** IP address and port, such as `10.0.0.1:7400` or `[::1]:7400`. Port 0 selects a free port. */
const HostPort = z.string()
  .regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'expected IP:PORT');
type HostPort = z.infer<typeof HostPort>;

export default HostPort;
