import assert from 'node:assert/strict';

import type OperatorClient from '@guavayard/operator/OperatorClient';

/**
 * Asserts that every VM answers and that no entry has broken an invariant.
 *
 * @param client - client of a control VM
 * @param entries - how many entries must answer
 */
export default async function assertNoBreach(
  client: OperatorClient,
  entries: number,
): Promise<void> {
  const { vms, silent } = (await client.vms()).unwrap();
  assert.deepEqual(silent, []);
  const invariants = vms.flatMap((vm) => vm.entry?.invariants ?? []);
  assert.equal(invariants.length, entries);
  const breaches = invariants.flatMap((counts) => Object.entries(counts))
    .filter(([, count]) => count > 0);
  assert.deepEqual(breaches, []);
}
