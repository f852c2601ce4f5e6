import type { buildConnector } from 'undici';
// Importing only this module: loading all of undici more than doubles its startup cost.
import Client from 'undici/lib/dispatcher/client';

import type ProcessProof from '@guavayard/core/connections/ProcessProof';
import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';

import ProcessUnknownError from './ProcessUnknownError';
import UndiciDispatch from './UndiciDispatch';

interface TargetConnectionOptions {
  readonly address: string;
  readonly connect: buildConnector.connector;
  readonly localAddress?: string | undefined;
  readonly keepAliveTimeoutMs: number;
  /** What connections to the target tell of its process. */
  readonly proof: ProcessProof;
  /** Called with whether a new connection has carried a response, or ended without one. */
  readonly onOpened: (isWorking: boolean) => void;
}

/** Code of the errors of connections that the client ends itself. */
const OWN_END_CODE = 'UND_ERR_INFO';

/** One keep-alive connection to a target, opened again by the next request after it was closed. */
export default class TargetConnection {
  /** Whether a response has arrived on the connection that is open. */
  private hasAnswered = false;

  /** Whether the open connection has been sent a request whose response has not started. */
  private isAwaiting = false;

  /** Whether the connection carries a request that is not a probe. */
  hasRequest = false;

  /** Whether this VM has aborted a request, which ends the open connection. */
  private isAborted = false;

  private readonly client: Client;

  constructor(private readonly options: TargetConnectionOptions) {
    const {
      address, connect, localAddress, keepAliveTimeoutMs, proof, onOpened,
    } = options;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      connect,
      ...(localAddress === undefined ? {} : { localAddress }),
      keepAliveTimeout: keepAliveTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('connectionError', () => {
      proof.recordEnd();
      onOpened(false);
    });
    this.client.on('disconnect', (_origin, _targets, err) => {
      const { code } = err as NodeJS.ErrnoException;
      if (!this.isAborted && code !== OWN_END_CODE) proof.recordEnd();
      this.isAborted = false;
      const hasFailed = this.isAwaiting && !this.hasAnswered;
      this.hasAnswered = false;
      this.isAwaiting = false;
      if (hasFailed) onOpened(false);
    });
  }

  /** Whether no request has the connection. */
  get isFree(): boolean {
    return this.client.stats.size === 0;
  }

  /** Whether the connection is open and has carried a response. */
  get isProven(): boolean {
    return this.hasAnswered && this.client.stats.connected;
  }

  /** Whether the connection is open, has carried a response and can take a request at once. */
  get isReady(): boolean {
    return this.isProven && this.isFree;
  }

  /**
   * Sends a request.
   *
   * @param req - the request
   * @param handler - receives the response
   * @param mayStart - returns whether it may be sent on a connection that has carried no response
   * @returns a handle to resume or abort the exchange
   */
  send(req: TargetRequest, handler: AnswerHandler, mayStart: () => boolean): Dispatch {
    const dispatch = new UndiciDispatch(handler, {
      onStart: () => {
        // A request that has not been written when its connection ends is moved to a new one.
        if (!this.hasAnswered && !mayStart()) throw new ProcessUnknownError();
        this.isAwaiting = true;
      },
      onResponse: () => {
        this.isAwaiting = false;
        if (this.hasAnswered) return;
        // A response proves nothing of the process if a connection has ended since it was sent.
        this.hasAnswered = mayStart();
        this.options.onOpened(true);
      },
      onAbort: () => {
        this.isAwaiting = false;
        this.isAborted = true;
      },
      onFinished: () => {
        this.hasRequest = false;
      },
    });
    this.hasRequest = req.purpose !== 'probe';
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
