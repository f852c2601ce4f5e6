import { createServer, type Server } from 'node:http';

import { H3 } from 'h3';
import { toNodeHandler } from 'h3/node';

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Serves health checks of the platform's balancer. It owns its server socket. */
export default class BalancerListener {
  readonly server: Server;

  /**
   * @param isReady - returns whether the VM currently accepts requests
   */
  constructor(isReady: () => boolean) {
    const app = new H3()
      .get('/live', () => ({ live: true }))
      .get('/ready', () => {
        const ready = isReady();
        const status = ready ? READY_STATUS : NOT_READY_STATUS;
        return new Response(JSON.stringify({ ready }), { status });
      });
    this.server = createServer(toNodeHandler(app));
  }
}
