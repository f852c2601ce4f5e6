import { createServer, type Server } from 'node:http';

import { H3, readBody } from 'h3';
import { toNodeHandler } from 'h3/node';

import type EmulatedTarget from './EmulatedTarget';
import type TargetBehaviour from './TargetBehaviour';

/** HTTP API, on a separate port, that returns and changes the state of an emulated target. */
export default class ControlListener {
  readonly server: Server;

  constructor(private readonly target: EmulatedTarget) {
    const app = new H3()
      .get('/state', () => this.describe())
      .patch('/behaviour', async (event) => {
        const changes = await readBody<Partial<TargetBehaviour>>(event);
        return this.change(changes ?? {});
      })
      .post('/crash', () => {
        this.target.crash();
        return {};
      });
    this.server = createServer(toNodeHandler(app));
  }

  private describe(): object {
    const { behaviour, inFlight, statistics } = this.target;
    const runsByKey = Object.fromEntries(statistics.runsByKey);
    return { behaviour, inFlight, statistics: { ...statistics, runsByKey } };
  }

  private change(changes: Partial<TargetBehaviour>): object | Response {
    try {
      this.target.change(changes);
    } catch (err) {
      return new Response((err as Error).message, { status: 422 });
    }
    return this.target.behaviour;
  }
}
