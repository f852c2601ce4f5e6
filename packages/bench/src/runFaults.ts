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
const SEVERAL = 6;
const HALF = 2;
/** After its return a data centre gets at most this part of its former work in a second. */
const MAX_RETURN_SHARE = 0.5;

function runFault(profile: UserProfile, fault: Fault, durationMs: number, seed: number): RunResult {
  const policy = createGuavayardPolicy(`guavayard, ${fault.name}`);
  return runPolicy(profile, policy, LOAD, durationMs, seed, fault);
}

function runUser(profile: UserProfile, seed: number): FaultResults {
  const cold = new ColdRestart();
  const out = new DataCentreOut();
  const faulty = [
    new TargetsFaulty('fail-fast', SEVERAL),
    new TargetsFaulty('lying-report', HALF),
    new TargetsFaulty('lagging-report', HALF),
  ];
  const results = [
    runFault(profile, cold, DURATION_MS, seed),
    runFault(profile, out, DURATION_MS, seed),
    ...faulty.map((fault) => runFault(profile, fault, SHORT_DURATION_MS, seed)),
  ];
  const baseline = baselines.map((policy) => (
    runPolicy(profile, policy, LOAD, SHORT_DURATION_MS, seed, new TargetsFaulty('fail-fast', SEVERAL))
  ));
  const { restarted, warm } = cold.progress;
  const { before, afterReturn } = out.perSecond;
  return {
    results: [...results, ...baseline],
    checks: [
      { name: `${profile.name}: requests over a cold target's bearing`, measured: cold.overBearing, limit: 0 },
      { name: `${profile.name}: restarted targets still cold after 7.5 s`, measured: restarted - warm, limit: 0 },
      { name: `${profile.name}: dispatches to a data centre 4 s after it was taken out`, measured: out.late, limit: 0 },
      { name: `${profile.name}: work of a data centre in the second of its return`, measured: afterReturn, limit: before * MAX_RETURN_SHARE },
      { name: `${profile.name}: failed requests with fail-fast targets, against the best baseline`, measured: results[2]?.failed ?? 0, limit: Math.min(...baseline.map(({ failed }) => failed)) },
    ],
  };
}

/**
 * Runs the shipped policy with faults, for both users.
 *
 * @param seed - seed of all random numbers
 * @returns the results and the bounds
 */
export default function runFaults(seed: number): FaultResults {
  const perUser = profiles.map((profile) => runUser(profile, seed));
  return {
    results: perUser.flatMap(({ results }) => results),
    checks: perUser.flatMap(({ checks }) => checks),
  };
}
