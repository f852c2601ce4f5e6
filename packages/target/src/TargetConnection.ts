import type { buildConnector } from 'undici';
// Importing only this module: loading all of undici more than doubles its startup cost.
import Client from 'undici/lib/dispatcher/client';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';

import UndiciDispatch from './UndiciDispatch';

interface TargetConnectionOptions {
  readonly address: string;
  readonly connect: buildConnector.connector;
  readonly localAddress?: string | undefined;
  readonly keepAliveTimeoutMs: number;
  /** Called with whether a new connection has carried a response, or ended without one. */
  readonly onOpened: (isWorking: boolean) => void;
}

/** One keep-alive connection to a target, opened again by the next request after it was closed. */
export default class TargetConnection {
  /** Whether a response has arrived on the connection that is open. */
  private hasAnswered = false;

  /** Whether the open connection has been sent a request whose response has not started. */
  private isAwaiting = false;

  private readonly client: Client;

  constructor(private readonly options: TargetConnectionOptions) {
    const {
      address, connect, localAddress, keepAliveTimeoutMs, onOpened,
    } = options;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect,
      ...(localAddress === undefined ? {} : { localAddress }),
      keepAliveTimeout: keepAliveTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('connectionError', () => onOpened(false));
    this.client.on('disconnect', () => {
      const hasFailed = this.isAwaiting && !this.hasAnswered;
      this.hasAnswered = false;
      this.isAwaiting = false;
      if (hasFailed) onOpened(false);
    });
  }

  /** Number of requests that the connection carries or that wait for it. */
  get load(): number {
    return this.client.stats.size;
  }

  /** Whether the connection is open, has carried a response and can take a request at once. */
  get isReady(): boolean {
    return this.hasAnswered && this.load === 0 && this.client.stats.connected;
  }

  /**
   * Sends a request.
   *
   * @param req - the request
   * @param handler - receives the response
   * @returns a handle to resume or abort the exchange
   */
  send(req: TargetRequest, handler: AnswerHandler): Dispatch {
    const dispatch = new UndiciDispatch(handler, {
      onStart: () => {
        this.isAwaiting = true;
      },
      onResponse: () => {
        this.isAwaiting = false;
        if (this.hasAnswered) return;
        this.hasAnswered = true;
        this.options.onOpened(true);
      },
      onAbort: () => {
        this.isAwaiting = false;
      },
    });
    this.client.dispatch({
      method: req.method,
      path: req.path,
      headers: req.headers as string[],
      body: req.body,
    }, dispatch);
    return dispatch;
  }

  /** Closes the connection once its requests have finished. */
  async close(): Promise<void> {
    await this.client.close();
  }
}
