import BenchEntry from './BenchEntry';
import type BenchRequest from './BenchRequest';
import type Fault from './Fault';
import Fleet from './Fleet';
import Measurements from './Measurements';
import type Policy from './Policy';
import RegionSharing from './RegionSharing';
import type RunResult from './RunResult';
import Traffic from './Traffic';
import type UserProfile from './UserProfile';
import VirtualClock from './VirtualClock';

/** Time after the last arrival within which every request ends. */
const DRAIN_MS = 3000;
const TICK_MS = 5;

/**
 * Simulates one policy at one load.
 *
 * @param profile - the deployment to simulate
 * @param policy - the policy
 * @param load - offered load, as a share of the capacity that slow phases leave
 * @param durationMs - virtual time during which requests arrive, in milliseconds
 * @param seed - seed of all random number generators
 * @param fault - fault to inject, if any
 * @returns the measured results
 */
export default function runPolicy(
  profile: UserProfile,
  policy: Policy,
  load: number,
  durationMs: number,
  seed: number,
  fault?: Fault,
): RunResult {
  const clock = new VirtualClock();
  const fleet = new Fleet(profile, clock, seed);
  const measurements = new Measurements();
  const policies = policy.create(fleet, fleet.locations);
  const entries = fleet.locations.map((location, index) => (
    new BenchEntry(location, policies[index] as (typeof policies)[number], fleet, measurements)
  ));
  entries.forEach((entry) => {
    Object.assign(entry, {
      relay: (name: string, req: BenchRequest) => {
        entries.find(({ location }) => location.name === name)?.take(req);
      },
    });
  });
  fault?.start(fleet, entries);
  const traffic = new Traffic(fleet, entries, load, durationMs);
  traffic.start();
  new RegionSharing(fleet, entries, measurements).start();
  policies.forEach(({ tick }) => {
    if (tick !== undefined) clock.every(TICK_MS, tick);
  });
  clock.runUntil(durationMs);
  const { sharingBytes } = measurements;
  clock.runUntil(durationMs + DRAIN_MS);
  const busyMs = fleet.targets.reduce((sum, target) => sum + target.busyMs, 0);
  return {
    user: profile.name,
    policy: policy.name,
    load,
    requests: traffic.requests,
    refused: measurements.refused,
    late: measurements.late,
    failed: measurements.failed,
    hedgeShare: measurements.hedges / traffic.requests,
    wastedShare: measurements.wastedMs / busyMs,
    // Targets report their load with their responses; the scheduler sends no probes.
    probes: 0,
    probeShare: 0,
    sharingBytesPerSecond: (sharingBytes / entries.length / durationMs) * 1000,
    remoteShare: measurements.remote / traffic.requests,
    ...measurements.summarize(),
  };
}
