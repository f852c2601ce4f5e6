import loads from './loads';
import allSeeing from './policies/allSeeing';
import baselines from './policies/baselines';
import createGuavayardPolicy from './policies/createGuavayardPolicy';
import profiles from './profiles';
import runPolicy from './runPolicy';
import type RunResult from './RunResult';

/**
 * Simulates every policy for every profile and load, without faults.
 *
 * @param durationMs - virtual time of each run, in milliseconds
 * @param seed - seed of all random number generators
 * @returns the results
 */
export default function runSteady(durationMs: number, seed: number): RunResult[] {
  const policies = [...baselines, allSeeing, createGuavayardPolicy()];
  return profiles.flatMap((profile) => loads.flatMap((load) => (
    policies.map((policy) => runPolicy(profile, policy, load, durationMs, seed))
  )));
}
