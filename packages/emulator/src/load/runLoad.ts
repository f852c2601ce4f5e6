import { performance } from 'node:perf_hooks';

import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import type LoadOptions from './LoadOptions';
import type LoadResult from './LoadResult';

const MICROSECONDS_PER_MS = 1000;
/** Interval at which due requests are started, in milliseconds. */
const TICK_MS = 1;

async function sendRequest(agent: Agent, options: LoadOptions): Promise<string> {
  try {
    const response = await request(options.url, {
      dispatcher: agent,
      method: options.method as 'GET',
      signal: AbortSignal.timeout(options.timeoutMs),
    });
    await response.body.arrayBuffer();
    return String(response.statusCode);
  } catch (err) {
    return (err as { code?: string }).code ?? (err as Error).name;
  }
}

function summarise(
  histogram: Histogram,
  outcomes: ReadonlyMap<string, number>,
  sent: number,
  elapsedMs: number,
): LoadResult {
  const percentile = (share: number): number => (
    histogram.getValueAtPercentile(share) / MICROSECONDS_PER_MS
  );
  return {
    sent,
    answered: histogram.totalCount,
    outcomes: Object.fromEntries(outcomes),
    ratePerSecond: (sent * 1000) / elapsedMs,
    p50Ms: percentile(50),
    p99Ms: percentile(99),
    p999Ms: percentile(99.9),
    maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}

/**
 * Sends requests at a constant rate, like independent callers (open loop). Latency is measured from
 * the scheduled start of a request, so that a stall counts for every request that it delays
 * (no coordinated omission).
 *
 * @param options - what to send, with limits on count and duration
 * @returns the result, once every request has a response or has failed
 */
export default async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1 });
  const histogram = build();
  const outcomes = new Map<string, number>();
  const requests: Promise<void>[] = [];
  const startMs = performance.now();
  const start = async (dueMs: number): Promise<void> => {
    const outcome = await sendRequest(agent, options);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    if (!/^\d+$/.test(outcome)) return;
    histogram.recordValue(Math.round((performance.now() - dueMs) * MICROSECONDS_PER_MS));
  };
  await new Promise<void>((resolve) => {
    const timer = setInterval(() => {
      const elapsedMs = performance.now() - startMs;
      const due = Math.min(
        options.count,
        Math.ceil((Math.min(elapsedMs, options.durationMs) * options.ratePerSecond) / 1000),
      );
      while (requests.length < due) {
        requests.push(start(startMs + (requests.length * 1000) / options.ratePerSecond));
      }
      if (requests.length < options.count && elapsedMs < options.durationMs) return;
      clearInterval(timer);
      resolve();
    }, TICK_MS);
  });
  const sendingMs = performance.now() - startMs;
  await Promise.all(requests);
  await agent.close();
  return summarise(histogram, outcomes, requests.length, sendingMs);
}
