import type { buildConnector } from 'undici';
// Importing only these modules: loading all of undici more than doubles its startup cost.
import createConnector from 'undici/lib/core/connect';
import Pool from 'undici/lib/dispatcher/pool';

import type AnswerHandler from '@guavayard/core/dispatch/AnswerHandler';
import type Dispatch from '@guavayard/core/dispatch/Dispatch';
import type TargetRequest from '@guavayard/core/dispatch/TargetRequest';
import type TargetSender from '@guavayard/core/dispatch/TargetSender';
import type SendAddress from '@guavayard/core/types/SendAddress';

import UndiciDispatch from './UndiciDispatch';

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Maximum connections from one entry to a target, even if the target's limit is higher. */
const MAX_CONNECTIONS_PER_TARGET = 64;

interface SenderOptions {
  /** Keep-alive timeout if the response of the target does not specify one, in milliseconds. */
  readonly keepAliveTimeoutMs: number;
  /** Address from which connections are opened; undefined if the system chooses. */
  readonly localAddress?: string | undefined;
}

const connect = createConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Replaces the code of a reset, which undici takes for the end of a response without a length. */
function replaceResetCode(err: NodeJS.ErrnoException): void {
  if (err.code === 'ECONNRESET') Object.assign(err, { code: 'ECONNABORTED' });
}

const connectToTarget: buildConnector.connector = (options, callback) => {
  connect(options, (...result: Parameters<buildConnector.Callback>) => {
    const [, socket] = result;
    socket?.prependListener('error', replaceResetCode);
    callback(...result);
  });
};

/** Sends requests over pools of keep-alive connections, one pool per target address. */
export default class UndiciTargetSender implements TargetSender {
  private readonly pools = new Map<string, Pool>();

  constructor(
    private readonly options: SenderOptions = { keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS },
  ) {}

  send(target: SendAddress, req: TargetRequest, handler: AnswerHandler): Dispatch {
    const dispatch = new UndiciDispatch(handler);
    this.getPool(target).dispatch({
      method: req.method,
      path: req.path,
      headers: req.headers as string[],
      body: req.body,
    }, dispatch);
    return dispatch;
  }

  /**
   * Closes the connections to an address once their requests have finished.
   *
   * @param address - host and port of the target
   */
  closeConnections(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    // Each failed request notifies its own handler, so the error of the pool can be ignored.
    pool?.close().catch(() => undefined);
  }

  /** Closes all connections once their requests have finished. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(async (pool) => pool.close()));
  }

  private getPool(target: SendAddress): Pool {
    const existing = this.pools.get(target.address);
    if (existing !== undefined) return existing;
    const { localAddress } = this.options;
    const pool = new Pool(`http://${target.address}`, {
      connections: Math.min(target.connectionLimit, MAX_CONNECTIONS_PER_TARGET),
      pipelining: 1,
      connect: connectToTarget,
      ...(localAddress === undefined ? {} : { localAddress }),
      keepAliveTimeout: this.options.keepAliveTimeoutMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.pools.set(target.address, pool);
    return pool;
  }
}
