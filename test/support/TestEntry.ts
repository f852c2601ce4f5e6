import type { AddressInfo } from 'node:net';

import { Ok } from 'ts-results';

import type CallerLimits from '@guavayard/caller/CallerLimits';
import CallerListener from '@guavayard/caller/CallerListener';
import RequestHandler from '@guavayard/caller/RequestHandler';
import createRelay from '@guavayard/cli/run/createRelay';
import LeastInFlightChooser from '@guavayard/core/choice/LeastInFlightChooser';
import type KeyKeeper from '@guavayard/core/idempotency/KeyKeeper';
import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import findCandidates from '@guavayard/core/routing/findCandidates';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Admission from '@guavayard/core/scheduling/Admission';
import defaultOptions from '@guavayard/core/scheduling/defaultOptions';
import DirectScheduler from '@guavayard/core/scheduling/DirectScheduler';
import LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import type Scheduler from '@guavayard/core/scheduling/Scheduler';
import Configuration from '@guavayard/core/types/Configuration';
import DispatchChecker from '@guavayard/core/invariants/DispatchChecker';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type VersionedConfiguration from '@guavayard/core/types/VersionedConfiguration';
import UndiciTargetSender from '@guavayard/target/UndiciTargetSender';
import type VmIdentity from '@guavayard/vm/session/VmIdentity';

const GRANT_ALL: KeyKeeper = {
  claim: (_claim, onDecision) => {
    queueMicrotask(() => onDecision(Ok(undefined)));
    return () => undefined;
  },
};
const TIME_TO_LIVE_MS = 3_600_000;

/** The request path of one entry, in the process of the test. */
export default class TestEntry {
  /** The configuration in force; undefined while the entry may not dispatch. */
  configuration: Configuration | undefined = Configuration.parse({
    services: { listing: {} },
    dataCentres: { 'munster-1': { region: 'munster', state: 'in' } },
    routes: { all: { pathPrefix: '/', service: 'listing' } },
  });

  version = 1;

  readonly sender = new UndiciTargetSender();

  readonly dispatchChecker = new DispatchChecker(
    'entry-1',
    () => this.currentConfiguration(),
    () => undefined,
  );

  /** Name of the entry to which attempts are relayed; undefined if this entry sends them itself. */
  relayTo: string | undefined;

  /** Records of the requests that callers or other entries have sent to this entry. */
  readonly records: RequestRecord[] = [];

  private readonly targets: KnownTarget[] = [];

  private scheduler: Scheduler;

  private readonly findCandidates: (admission: Pick<Admission, 'match'>) => readonly Candidate[];

  private readonly listener: CallerListener;

  private readonly identity: VmIdentity;

  /**
   * @param keys - store of idempotency keys; by default every claim is granted
   * @param region - region of the entry
   * @param entries - all entries, to which requests can be relayed; the new entry is added
   * @param limits - limits on callers, if other than the defaults
   */
  constructor(
    keys: KeyKeeper = GRANT_ALL,
    private readonly region = 'munster',
    entries: TestEntry[] = [],
    limits?: CallerLimits,
  ) {
    entries.push(this);
    this.identity = {
      name: `entry-${entries.length}`,
      region,
      dataCentre: `${region}-1`,
      startId: `start-${entries.length}`,
      roles: ['entry'],
      address: '127.0.0.1:1',
    };
    const location = { region, dataCentre: `${region}-1` };
    this.findCandidates = ({ match }) => (
      this.configuration === undefined
        ? [] : findCandidates(this.configuration, this.targets, match, location));
    this.scheduler = new DirectScheduler(
      this.findCandidates,
      (countInFlight) => new LeastInFlightChooser(countInFlight),
    );
    const scheduler: Scheduler = {
      schedule: (admission, onDecision) => this.scheduler.schedule(admission, (decision) => {
        onDecision(decision.map((assignment) => ({ ...assignment, relayTo: this.relayTo })));
      }),
    };
    const handler = new RequestHandler({
      clock: () => performance.now(),
      scheduler,
      sender: this.sender,
      recorder: { record: (record) => this.records.push(record) },
      dispatchCheck: this.dispatchChecker,
      keys,
      relay: createRelay(this.identity, 'a key for the tests only', () => entries.map((entry) => entry.identity)),
      configuration: () => this.currentConfiguration(),
    });
    this.listener = new CallerListener(handler, { limits });
  }

  /** Schedules attempts as entries do: they wait in a queue for a target. */
  queueAttempts(): void {
    this.scheduler = new LoadAwareScheduler({
      entryName: this.identity.name,
      clock: () => performance.now(),
      random: Math.random,
      findCandidates: this.findCandidates,
      listener: { onWarm: () => undefined },
    }, defaultOptions);
  }

  /**
   * Adds a target. Targets that were added earlier are preferred.
   *
   * @param address - address of the target, as `host:port`
   * @param connectionLimit - maximum number of connections to the target
   */
  addTarget(address: string, connectionLimit = 260): void {
    this.targets.push({
      id: `target-${this.targets.length + 1}`,
      service: 'listing',
      dataCentre: `${this.region}-1`,
      address,
      slots: 2,
      connectionLimit,
      startId: 'start-1',
      state: 'ready',
      timeToLiveMs: TIME_TO_LIVE_MS,
      owner: undefined,
    });
  }

  /**
   * Replaces the configuration in force and increments its version.
   *
   * @param configuration - the new configuration
   */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    this.version += 1;
  }

  /**
   * Listens on a port chosen by the operating system.
   *
   * @returns the port
   */
  async listen(): Promise<number> {
    return new Promise((resolve) => {
      this.listener.server.listen(0, '127.0.0.1', () => {
        const { port } = this.listener.server.address() as AddressInfo;
        this.identity.callerAddress = `127.0.0.1:${port}`;
        resolve(port);
      });
    });
  }

  private currentConfiguration(): VersionedConfiguration | undefined {
    if (this.configuration === undefined) return undefined;
    return { version: this.version, configuration: this.configuration };
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    this.listener.server.closeAllConnections();
    await new Promise((resolve) => {
      this.listener.server.close(resolve);
    });
  }
}
