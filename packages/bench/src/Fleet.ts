import findCandidates from '@guavayard/core/routing/findCandidates';
import type Candidate from '@guavayard/core/routing/Candidate';
import type Configuration from '@guavayard/core/types/Configuration';
import type DataCentre from '@guavayard/core/types/DataCentre';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import type Random from '@guavayard/core/types/Random';

import createRandom from '@guavayard/core/utils/createRandom';
import type BenchEntryLocation from './BenchEntryLocation';
import FakeTarget from './FakeTarget';
import NoisePhases from './NoisePhases';
import type UserProfile from './UserProfile';
import type VirtualClock from './VirtualClock';

/** One-way latency inside a data centre, in milliseconds. */
const NEAR_LATENCY_MS = 0.15;
const CONNECTION_LIMIT = 260;
const TIME_TO_LIVE_MS = 3_600_000;

/** The fake targets of a profile, the locations of its entries and the latencies between them. */
export default class Fleet {
  readonly targets: FakeTarget[] = [];

  readonly locations: BenchEntryLocation[] = [];

  /** Incremented on every change of a target or a configuration, to invalidate caches. */
  generation = 0;

  private readonly configuration: Configuration;

  private readonly configurations = new Map<string, Configuration>();

  private readonly byId = new Map<string, FakeTarget>();

  constructor(
    readonly profile: UserProfile,
    readonly clock: VirtualClock,
    private readonly seed: number,
  ) {
    const dataCentres = this.listDataCentres();
    this.configuration = {
      services: {},
      dataCentres: Object.fromEntries(dataCentres),
      routes: {},
      tenants: {},
    };
    dataCentres.forEach(([dataCentre, { region }]) => {
      for (let index = 0; index < profile.entriesPerDataCentre; index += 1) {
        this.locations.push({ name: `entry-${dataCentre}-${index}`, region, dataCentre });
      }
    });
    profile.services.forEach(({ name, instances }) => {
      for (let index = 0; index < instances; index += 1) {
        const [dataCentre, { region }] = dataCentres[index % dataCentres.length] as
          (typeof dataCentres)[number];
        this.addTarget(name, `${name}-${index}`, dataCentre, region);
      }
    });
  }

  /**
   * @param salt - distinguishes generators that use the same seed
   * @returns a pseudorandom number generator
   */
  createRandom(salt: number): Random {
    return createRandom(this.seed * 1009 + salt);
  }

  /**
   * @param id - id of a target
   * @returns the target
   */
  find(id: string): FakeTarget {
    return this.byId.get(id) as FakeTarget;
  }

  /**
   * @param location - an entry
   * @returns the configuration that is in force at the entry
   */
  configurationOf(location: BenchEntryLocation): Configuration {
    return this.configurations.get(location.name) ?? this.configuration;
  }

  /**
   * Changes the state of a data centre in the configuration of one entry.
   *
   * @param location - the entry
   * @param dataCentre - the data centre
   * @param state - its new state
   */
  setDataCentre(location: BenchEntryLocation, dataCentre: string, state: 'in' | 'out'): void {
    const before = this.configurationOf(location);
    const { region } = before.dataCentres[dataCentre] as DataCentre;
    this.configurations.set(location.name, {
      ...before, dataCentres: { ...before.dataCentres, [dataCentre]: { region, state } },
    });
    this.generation += 1;
  }

  /**
   * Updates the announced state of a target, for all entries.
   *
   * @param id - the target
   * @param change - the fields to change
   */
  announce(id: string, change: Partial<KnownTarget>): void {
    const target = this.find(id);
    target.known = { ...target.known, ...change };
    this.generation += 1;
  }

  /**
   * Finds the candidates for a service with the production routing code.
   *
   * @param location - the entry
   * @param serviceName - the service
   * @returns the candidates, whether their targets are ready or not
   */
  candidatesOf(
    location: BenchEntryLocation,
    serviceName: string,
  ): Candidate[] {
    const known = this.targets
      .map((target) => target.known)
      .filter((target) => target.service === serviceName);
    return findCandidates(this.configurationOf(location), known, {
      routeName: serviceName,
      serviceName,
      service: { timeoutMs: 1 },
      homeRegions: undefined,
    }, location);
  }

  /**
   * @param location - an entry
   * @param target - a target
   * @returns the one-way latency between them, in milliseconds
   */
  latencyMs(location: BenchEntryLocation, target: FakeTarget): number {
    if (target.known.dataCentre === location.dataCentre) return NEAR_LATENCY_MS;
    if (target.region === location.region) return this.profile.regionLatencyMs;
    return this.profile.remoteLatencyMs;
  }

  private listDataCentres(): [string, { region: string; state: 'in' }][] {
    const { regions, dataCentresPerRegion } = this.profile;
    return Array.from({ length: dataCentresPerRegion }, (_unused, index) => index + 1)
      .flatMap((number) => regions.map((region): [string, { region: string; state: 'in' }] => [
        `${region}-${number}`, { region, state: 'in' },
      ]));
  }

  private addTarget(service: string, id: string, dataCentre: string, region: string): void {
    const known: KnownTarget = {
      id,
      service,
      dataCentre,
      address: '127.0.0.1:1',
      slots: this.profile.slots,
      connectionLimit: CONNECTION_LIMIT,
      startId: 'start-0',
      state: 'ready',
      timeToLiveMs: TIME_TO_LIVE_MS,
      owner: undefined,
    };
    const noise = new NoisePhases(this.createRandom(1000 + this.targets.length));
    const target = new FakeTarget(known, region, this.clock, noise);
    this.targets.push(target);
    this.byId.set(id, target);
  }
}
