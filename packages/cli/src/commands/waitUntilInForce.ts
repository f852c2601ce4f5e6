import { setTimeout as sleep } from 'node:timers/promises';

import { Err, Ok, type Result } from 'ts-results';

import type OperatorClient from '@guavayard/operator/OperatorClient';

const POLL_INTERVAL_MS = 100;
/** Much longer than it takes until every lease of an older version has expired. */
const TIMEOUT_MS = 30_000;

/**
 * Waits until no entry can dispatch under a version before the given one.
 *
 * @param client - client of the operators' API
 * @param version - an accepted version
 * @returns the version, or an error message if it is not known to be in force in time
 */
export default async function waitUntilInForce(
  client: OperatorClient,
  version: number,
): Promise<Result<number, string>> {
  const deadlineMs = Date.now() + TIMEOUT_MS;
  let reason = '';
  while (Date.now() < deadlineMs) {
    // eslint-disable-next-line no-await-in-loop -- polls one request at a time
    const response = await client.enforcement();
    if (response.err) reason = `: ${response.val}`;
    else if ((response.val.inForceVersion ?? -1) >= version) return Ok(version);
    // eslint-disable-next-line no-await-in-loop
    await sleep(POLL_INTERVAL_MS);
  }
  return Err(`version ${version} is accepted, but not known to be in force${reason}`);
}
