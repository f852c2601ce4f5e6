import * as z from 'zod';

/** Time for a connection above which it is told, in milliseconds. */
const LONG_CONNECTION_MS = 50;

const Attempt = z.object({
  target: z.string(),
  load: z.number().optional(),
  slowness: z.number().optional(),
  loadAgeMs: z.number().optional(),
  wasSilent: z.boolean().optional(),
  isNewConnection: z.boolean().optional(),
  connectionMs: z.number().optional(),
  coldLeftMs: z.number().optional(),
  isHedge: z.boolean().optional(),
  outcome: z.string(),
  ms: z.number(),
});

/** The attempt of another entry that was given the request. */
const Relay = z.object({ entry: z.string(), outcome: z.string(), ms: z.number() });

const RequestLine = z.object({
  vm: z.string(),
  time: z.string(),
  requestId: z.string(),
  route: z.string().optional(),
  service: z.string().optional(),
  version: z.number().optional(),
  attempts: z.array(Attempt),
  relay: Relay.optional(),
  relayedBy: z.string().optional(),
  hedge: z.string().optional(),
  decision: z.string(),
  detail: z.string().optional(),
  status: z.number(),
  retryAfterMs: z.number().optional(),
  ms: z.number(),
});
type RequestLine = z.infer<typeof RequestLine>;

function parse(text: string): RequestLine | undefined {
  try {
    return RequestLine.safeParse(JSON.parse(text)).data;
  } catch {
    // Logs may contain lines that are not JSON; they do not concern requests.
    return undefined;
  }
}

function describeAttempt(attempt: z.infer<typeof Attempt>, index: number): string {
  const {
    target, load, slowness, loadAgeMs, wasSilent = false, isNewConnection = false, connectionMs = 0,
    coldLeftMs, isHedge = false, outcome, ms,
  } = attempt;
  const loadReport = load === undefined
    ? 'load unknown'
    : `told ${load} requests and slowness ${slowness ?? 'unknown'} ${loadAgeMs ?? 0} ms before`;
  const notes = [
    ...(isHedge ? ['a hedge'] : []),
    loadReport,
    ...(wasSilent ? ['a probe unanswered'] : []),
    ...(isNewConnection ? ['a new connection'] : []),
    ...(connectionMs >= LONG_CONNECTION_MS ? [`${connectionMs} ms until a connection took it`] : []),
    ...(coldLeftMs === undefined ? [] : [`cold for ${coldLeftMs} ms more`]),
  ].join(', ');
  return `  attempt ${index + 1}: ${target} (${notes}): ${outcome} after ${ms} ms`;
}

function describeRelay({ entry, outcome, ms }: z.infer<typeof Relay>): string {
  return `  other entry${entry === '' ? '' : ` ${entry}`}: ${outcome} after ${ms} ms`;
}

function describeLine(line: RequestLine): string[] {
  const {
    vm, time, route, service, version, decision, detail, status, retryAfterMs, ms,
    relay, relayedBy, hedge,
  } = line;
  const routing = route === undefined ? 'no route' : `route ${route}, service ${service}, version ${version}`;
  const retryHint = retryAfterMs === undefined ? '' : `, to come back after ${retryAfterMs} ms`;
  const reason = detail === undefined || detail === '' ? '' : ` (${detail})`;
  return [
    `${time} ${vm}: ${routing}${relayedBy === undefined ? '' : `, relayed by ${relayedBy}`}`,
    ...line.attempts.map(describeAttempt),
    ...(relay === undefined ? [] : [describeRelay(relay)]),
    ...(hedge === undefined ? [] : [`  hedge: ${hedge}`]),
    `  ${decision}${reason}: ${status === 0 ? 'no answer' : `answered ${status}`} after ${ms} ms${retryHint}`,
  ];
}

/**
 * Reconstructs how one request was handled from the logs of the processes that handled it.
 *
 * @param lines - log lines of any processes, in any order
 * @param requestId - id of the request
 * @returns readable lines in order of time; empty if the logs do not mention the request
 */
export default function explainRequest(lines: readonly string[], requestId: string): string[] {
  return lines
    .filter((text) => text.includes(requestId))
    .flatMap((text) => parse(text.slice(text.indexOf('{'))) ?? [])
    .filter((line) => line.requestId === requestId)
    .sort((a, b) => (a.time < b.time ? -1 : 1))
    .flatMap(describeLine);
}
