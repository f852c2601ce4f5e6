import { performance } from 'node:perf_hooks';

import { Agent, request } from 'undici';

import type SentRequest from './SentRequest';

const OK_STATUS = 200;
const RESPONSE_TIMEOUT_MS = 15_000;
const RETRY_DELAY_MS = 200;
const MAX_ATTEMPTS = 40;
const THINK_TIME_MS = 10;

interface SoakCallerOptions {
  readonly name: string;
  /** Returns the address of an entry that accepts requests, like the platform's load balancer. */
  readonly entryAddress: () => string | undefined;
  readonly onSent: (sent: SentRequest) => void;
}

async function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * A caller that sends reads, writes with an idempotency key that it retries until they succeed, and
 * writes without a key that it sends once.
 */
export default class SoakCaller {
  private readonly agent = new Agent({
    headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS, pipelining: 1,
  });

  private isStopped = false;

  private count = 0;

  constructor(private readonly options: SoakCallerOptions) {}

  /** Sends requests sequentially until {@link SoakCaller.stop}. */
  async run(): Promise<void> {
    /* eslint-disable no-await-in-loop -- a caller has one request at a time */
    while (!this.isStopped) {
      await this.sendNext();
      await sleep(THINK_TIME_MS);
    }
    /* eslint-enable no-await-in-loop */
    await this.agent.close();
  }

  /** Stops sending after the current request. */
  stop(): void {
    this.isStopped = true;
  }

  private async sendNext(): Promise<void> {
    this.count += 1;
    const id = `${this.options.name}-${this.count}`;
    const kind = (['read', 'read', 'keyed', 'plain'] as const)[this.count % 4] ?? 'read';
    if (kind === 'keyed') await this.sendUntilSuccess(id);
    else await this.send(kind, id, undefined);
  }

  private async sendUntilSuccess(key: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- a retry follows a failure
      const sent = await this.send('keyed', `${key}.${attempt}`, key);
      if (sent?.status === OK_STATUS) return;
      // eslint-disable-next-line no-await-in-loop
      await sleep(RETRY_DELAY_MS);
    }
  }

  private async send(
    kind: SentRequest['kind'],
    requestId: string,
    key: string | undefined,
  ): Promise<SentRequest | undefined> {
    const address = this.options.entryAddress();
    if (address === undefined) return undefined;
    const startedAtMs = performance.now();
    const body = `body of ${key ?? requestId}`;
    const result = await this.exchange(`http://${address}/ledger/${key ?? requestId}`, {
      'guavayard-request-id': requestId,
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    }, kind === 'read' ? undefined : body);
    const expected = kind === 'read' ? `GET /ledger/${requestId} ` : body;
    const sent: SentRequest = {
      kind,
      requestId,
      key,
      status: result?.status,
      outcome: result?.outcome,
      hasExpectedBody: result?.status !== OK_STATUS || result.text.startsWith(expected),
      latencyMs: performance.now() - startedAtMs,
    };
    this.options.onSent(sent);
    return sent;
  }

  private async exchange(
    url: string,
    headers: Record<string, string>,
    body: string | undefined,
  ): Promise<{ status: number; outcome: string | undefined; text: string } | undefined> {
    try {
      const response = await request(url, {
        dispatcher: this.agent, method: body === undefined ? 'GET' : 'POST', headers, body,
      });
      const outcome = response.headers['guavayard-outcome'] as string | undefined;
      return { status: response.statusCode, outcome, text: await response.body.text() };
    } catch {
      return undefined;
    }
  }
}
