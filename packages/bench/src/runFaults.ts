import type Fault from './Fault';
import type FaultResults from './FaultResults';
import ColdRestart from './faults/ColdRestart';
import DataCentreOut from './faults/DataCentreOut';
import TargetsFaulty from './faults/TargetsFaulty';
import baselines from './policies/baselines';
import createGuavayardPolicy from './policies/createGuavayardPolicy';
import profiles from './profiles';
import runPolicy from './runPolicy';
import type RunResult from './RunResult';
import type UserProfile from './UserProfile';

const LOAD = 0.5;
const DURATION_MS = 8000;
const SHORT_DURATION_MS = 3000;
const EVERY_SIXTH = 6;
const EVERY_SECOND = 2;
/** Largest share of its former request rate that a data centre gets in the second of its return. */
const MAX_RETURN_SHARE = 0.5;

function runFault(profile: UserProfile, fault: Fault, durationMs: number, seed: number): RunResult {
  const policy = createGuavayardPolicy(`guavayard, ${fault.name}`);
  return runPolicy(profile, policy, LOAD, durationMs, seed, fault);
}

function runProfile(profile: UserProfile, seed: number): FaultResults {
  const cold = new ColdRestart();
  const out = new DataCentreOut();
  const faulty = [
    new TargetsFaulty('fail-fast', EVERY_SIXTH),
    new TargetsFaulty('lying-report', EVERY_SECOND),
    new TargetsFaulty('lagging-report', EVERY_SECOND),
  ];
  const results = [
    runFault(profile, cold, DURATION_MS, seed),
    runFault(profile, out, DURATION_MS, seed),
    ...faulty.map((fault) => runFault(profile, fault, SHORT_DURATION_MS, seed)),
  ];
  const baseline = baselines.map((policy) => (
    runPolicy(profile, policy, LOAD, SHORT_DURATION_MS, seed, new TargetsFaulty('fail-fast', EVERY_SIXTH))
  ));
  const { restarted, warm } = cold.progress;
  const { before, afterReturn } = out.dispatchesPerSecond;
  return {
    results: [...results, ...baseline],
    checks: [
      { name: `${profile.name}: requests over a cold target's bearing`, measured: cold.maxColdExcess, limit: 0 },
      { name: `${profile.name}: restarted targets still cold after 7.5 s`, measured: restarted - warm, limit: 0 },
      { name: `${profile.name}: dispatches to a data centre 4 s after it was taken out`, measured: out.late, limit: 0 },
      { name: `${profile.name}: work of a data centre in the second of its return`, measured: afterReturn, limit: before * MAX_RETURN_SHARE },
      { name: `${profile.name}: failed requests with fail-fast targets, against the best baseline`, measured: results[2]?.failed ?? 0, limit: Math.min(...baseline.map(({ failed }) => failed)) },
    ],
  };
}

/**
 * Runs the production policy with every fault, for all profiles.
 *
 * @param seed - seed of all random number generators
 * @returns the results and the bounds checked on them
 */
export default function runFaults(seed: number): FaultResults {
  const perProfile = profiles.map((profile) => runProfile(profile, seed));
  return {
    results: perProfile.flatMap(({ results }) => results),
    checks: perProfile.flatMap(({ checks }) => checks),
  };
}
