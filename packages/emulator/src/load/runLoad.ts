import { performance } from 'node:perf_hooks';

import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import type LoadOptions from './LoadOptions';
import type LoadResult from './LoadResult';

const MICROSECONDS_PER_MS = 1000;
/** How often the requests that are due are begun. */
const TICK_MS = 1;

async function sendOne(agent: Agent, options: LoadOptions): Promise<string> {
  try {
    const answer = await request(options.url, {
      dispatcher: agent,
      method: options.method as 'GET',
      signal: AbortSignal.timeout(options.timeoutMs),
    });
    await answer.body.arrayBuffer();
    return String(answer.statusCode);
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
 * Sends requests at a steady rate, as callers do who don't wait for each other. Latency counts from
 * the moment a request was due, so that a stall is seen by all requests that it delayed.
 *
 * @param options - what to send, bounded in count and time
 * @returns what was measured, once every request is answered or failed
 */
export default async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1 });
  const histogram = build();
  const outcomes = new Map<string, number>();
  const underWay: Promise<void>[] = [];
  const startMs = performance.now();
  const begin = async (dueMs: number): Promise<void> => {
    const outcome = await sendOne(agent, options);
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
      while (underWay.length < due) {
        underWay.push(begin(startMs + (underWay.length * 1000) / options.ratePerSecond));
      }
      if (underWay.length < options.count && elapsedMs < options.durationMs) return;
      clearInterval(timer);
      resolve();
    }, TICK_MS);
  });
  const sendingMs = performance.now() - startMs;
  await Promise.all(underWay);
  await agent.close();
  return summarise(histogram, outcomes, underWay.length, sendingMs);
}
