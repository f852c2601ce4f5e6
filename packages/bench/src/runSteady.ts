import loads from './loads';
import allSeeing from './policies/allSeeing';
import baselines from './policies/baselines';
import createGuavayardPolicy from './policies/createGuavayardPolicy';
import profiles from './profiles';
import runPolicy from './runPolicy';
import type RunResult from './RunResult';

/**
 * Runs all policies side by side, for both users and at all loads, without faults.
 *
 * @param durationMs - virtual time of each run, in milliseconds
 * @param seed - seed of all random numbers
 * @returns the results
 */
export default function runSteady(durationMs: number, seed: number): RunResult[] {
  const policies = [...baselines, allSeeing, createGuavayardPolicy()];
  return profiles.flatMap((profile) => loads.flatMap((load) => (
    policies.map((policy) => runPolicy(profile, policy, load, durationMs, seed))
  )));
}
