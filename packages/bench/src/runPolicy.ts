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

/** Time after the last arrival in which every request ends. */
const DRAIN_MS = 3000;
const TICK_MS = 5;

/**
 * Runs one policy at one load.
 *
 * @param profile - sizes of the user
 * @param policy - the policy
 * @param load - part of the capacity that is asked for
 * @param durationMs - virtual time in which requests arrive, in milliseconds
 * @param seed - seed of all random numbers
 * @param fault - what goes wrong meanwhile
 * @returns its figures
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
  const parts = policy.create(fleet, fleet.places);
  const entries = fleet.places.map((place, index) => (
    new BenchEntry(place, parts[index] as (typeof parts)[number], fleet, measurements)
  ));
  entries.forEach((entry) => {
    Object.assign(entry, {
      relay: (name: string, req: BenchRequest) => {
        entries.find(({ place }) => place.name === name)?.take(req);
      },
    });
  });
  fault?.start(fleet, entries);
  const traffic = new Traffic(fleet, entries, load, durationMs);
  traffic.start();
  new RegionSharing(fleet, entries, measurements).start();
  parts.forEach(({ tick }) => {
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
    // Load comes with the answers; the scheduler itself sends no probes.
    probes: 0,
    probeShare: 0,
    sharingBytesPerSecond: (sharingBytes / entries.length / durationMs) * 1000,
    remoteShare: measurements.remote / traffic.requests,
    ...measurements.summarize(),
  };
}
