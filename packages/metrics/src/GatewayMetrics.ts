import { createServer, type Server } from 'node:http';

// Importing only these modules: all of them together load `node:cluster` and `node:https`.
import Counter from 'prom-client/lib/counter';
import Gauge from 'prom-client/lib/gauge';
import Histogram from 'prom-client/lib/histogram';
import Registry from 'prom-client/lib/registry';

import gatewayMetricTable from './gatewayMetricTable';

const PREFIX = 'guavayard_';
/** Upper bounds of the latency buckets, in seconds. */
const BUCKETS = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5];
const MS_PER_SECOND = 1000;
const PATH = '/metrics';
const NOT_FOUND_STATUS = 404;
const UNKNOWN_SERVICE = 'none';

/** The fields of a finished request that the metrics count. */
interface ObservedRequest {
  readonly service?: string;
  readonly decision: string;
  readonly ms: number;
  readonly attempts: readonly { readonly outcome: string }[];
  /** What came of a wish to hedge it; undefined without one. */
  readonly hedge?: string;
  /** The attempt of another entry, if one was given the request. */
  readonly relay?: { readonly outcome: string };
  /** The entry that relayed the request to this one. */
  readonly relayedBy?: string;
}

/** Options that all kinds of metrics have in common. */
interface MetricOptions {
  readonly name: string;
  readonly help: string;
  readonly labelNames: string[];
  readonly registers: Registry[];
}

/** Values of the gauges, read whenever the metrics are scraped. */
interface GaugeValues {
  readonly waiting: number;
  readonly probes: number;
  readonly unwrittenProbes: number;
  readonly unansweredProbes: number;
  readonly targets: number;
  readonly limitedTargets: number;
  readonly unreachableServices: number;
  readonly sharingEntries: number;
  readonly refusedRetries: number;
  readonly keys: number;
  readonly refusedKeys: number;
  readonly unprovenKeys: number;
  readonly quotaAsked: number;
  readonly quotaRefused: number;
  readonly quotaLimitedTenants: number;
  readonly runningRollouts: number;
  readonly rolloutSends: number;
  readonly version: number;
  readonly isCurrent: boolean;
  readonly leaderSilenceMs: number;
  readonly silentMembers: number;
  readonly pendingWriteMs: number;
  readonly errors: number;
  readonly unboundListeners: number;
  readonly sharedProtocolVersion: number;
  /** Bytes held for clients, by kind. */
  readonly held: readonly (readonly [kind: string, bytes: number])[];
  readonly heldLimitBytes: number;
  readonly evictions: number;
  readonly refusedReservations: number;
}

/**
 * Collects the metrics of a VM and serves them in the Prometheus text format. It owns its server
 * socket.
 */
export default class GatewayMetrics {
  readonly server: Server;

  private readonly registry = new Registry();

  private readonly requests: Counter;

  private readonly attempts: Counter;

  private readonly hedges: Counter;

  private readonly relayed: Counter;

  private readonly servedForEntries: Counter;

  private readonly latency: Histogram;

  /**
   * @param read - returns the current values of the gauges
   * @param buildId - id of the build that runs
   */
  constructor(private readonly read: () => GaugeValues, buildId: string) {
    const options = (name: keyof typeof gatewayMetricTable): MetricOptions => ({
      name: `${PREFIX}${name}`,
      help: gatewayMetricTable[name].meaning,
      labelNames: [...gatewayMetricTable[name].tags],
      registers: [this.registry],
    });
    this.requests = new Counter(options('requests_total'));
    this.attempts = new Counter(options('attempts_total'));
    this.hedges = new Counter(options('hedges_total'));
    this.relayed = new Counter(options('relayed_requests_total'));
    this.servedForEntries = new Counter(options('served_for_entries_total'));
    this.latency = new Histogram({ ...options('request_seconds'), buckets: BUCKETS });
    new Gauge(options('build_info')).set({ build: buildId }, 1);
    const gaugeReaders: [keyof typeof gatewayMetricTable, (values: GaugeValues) => number][] = [
      ['waiting_requests', ({ waiting }) => waiting],
      ['probes_total', ({ probes }) => probes],
      ['unwritten_probes_total', ({ unwrittenProbes }) => unwrittenProbes],
      ['unanswered_probes_total', ({ unansweredProbes }) => unansweredProbes],
      ['targets', ({ targets }) => targets],
      ['limited_targets', ({ limitedTargets }) => limitedTargets],
      ['unreachable_services', ({ unreachableServices }) => unreachableServices],
      ['sharing_entries', ({ sharingEntries }) => sharingEntries],
      ['refused_retries_total', ({ refusedRetries }) => refusedRetries],
      ['keys', ({ keys }) => keys],
      ['refused_keys_total', ({ refusedKeys }) => refusedKeys],
      ['unproven_keys_total', ({ unprovenKeys }) => unprovenKeys],
      ['quota_asked_total', ({ quotaAsked }) => quotaAsked],
      ['quota_admitted_total', ({ quotaAsked, quotaRefused }) => quotaAsked - quotaRefused],
      ['quota_refused_total', ({ quotaRefused }) => quotaRefused],
      ['quota_limited_tenants', ({ quotaLimitedTenants }) => quotaLimitedTenants],
      ['running_rollouts', ({ runningRollouts }) => runningRollouts],
      ['rollout_sends_total', ({ rolloutSends }) => rolloutSends],
      ['declaration_version', ({ version }) => version],
      ['is_current', ({ isCurrent }) => Number(isCurrent)],
      ['leader_silence_seconds', ({ leaderSilenceMs }) => leaderSilenceMs / MS_PER_SECOND],
      ['silent_members', ({ silentMembers }) => silentMembers],
      ['pending_write_seconds', ({ pendingWriteMs }) => pendingWriteMs / MS_PER_SECOND],
      ['unexpected_errors_total', ({ errors }) => errors],
      ['unbound_listeners', ({ unboundListeners }) => unboundListeners],
      ['held_limit_bytes', ({ heldLimitBytes }) => heldLimitBytes],
      ['evictions_total', ({ evictions }) => evictions],
      ['refused_reservations_total', ({ refusedReservations }) => refusedReservations],
      ['shared_messages_version', ({ sharedProtocolVersion }) => sharedProtocolVersion],
    ];
    const gauges = gaugeReaders.map(([name, value]) => (
      { gauge: new Gauge(options(name)), value }
    ));
    const held = new Gauge(options('held_bytes'));
    this.server = createServer((req, res) => {
      if (req.url !== PATH) {
        res.writeHead(NOT_FOUND_STATUS).end();
        return;
      }
      const values = this.read();
      gauges.forEach(({ gauge, value }) => gauge.set(value(values)));
      values.held.forEach(([kind, bytes]) => held.set({ kind }, bytes));
      this.registry.metrics().then((text) => {
        res.writeHead(200, { 'content-type': this.registry.contentType });
        res.end(text);
      }, (err: Error) => res.destroy(err));
    });
  }

  /**
   * Counts a finished request.
   *
   * @param request - its decision, duration and attempts
   */
  observe(request: ObservedRequest): void {
    const { service = UNKNOWN_SERVICE, decision } = request;
    this.requests.inc({ service, decision });
    // Only the first word becomes a label: the detail after it has unbounded cardinality.
    const firstWord = (outcome: string): string => outcome.split(' ')[0] ?? outcome;
    request.attempts.forEach(({ outcome }) => {
      this.attempts.inc({ service, outcome: firstWord(outcome) });
    });
    if (request.hedge !== undefined) this.hedges.inc({ service, outcome: request.hedge });
    if (request.relay !== undefined) {
      this.relayed.inc({ service, outcome: firstWord(request.relay.outcome) });
    }
    if (request.relayedBy !== undefined) this.servedForEntries.inc({ service });
    if (decision === 'answered') this.latency.observe({ service }, request.ms / MS_PER_SECOND);
  }
}
