import { setTimeout as sleep } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import type OperatorClient from '@guavayard/operator/OperatorClient';

const POLL_INTERVAL_MS = 100;
/** Far above the time in which every lease of an older version has lapsed. */
const TIMEOUT_MS = 30_000;

/**
 * Waits until no entry can dispatch under a version before the given one.
 *
 * @param client - client of the operators' API
 * @param version - an accepted version
 * @returns the version that is in force, or what went wrong
 */
export default async function waitUntilInForce(
  client: OperatorClient,
  version: number,
): Promise<Result<number, string>> {
  const endMs = Date.now() + TIMEOUT_MS;
  let reason = '';
  while (Date.now() < endMs) {
    // eslint-disable-next-line no-await-in-loop -- each question follows the one before
    const answer = await client.enforcement();
    if (answer.err) reason = `: ${answer.val}`;
    else if ((answer.val.inForceVersion ?? -1) >= version) return Ok(version);
    // eslint-disable-next-line no-await-in-loop
    await sleep(POLL_INTERVAL_MS);
  }
  return Err(`version ${version} is accepted, but not known to be in force${reason}`);
}
