import assert from 'node:assert/strict';

import type OperatorClient from '@guavayard/operator/OperatorClient';

/**
 * Asserts that every VM responds and that no entry has recorded a breach of an invariant.
 *
 * @param client - client of the operator API of a control VM
 * @param entries - number of entries that must respond
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
