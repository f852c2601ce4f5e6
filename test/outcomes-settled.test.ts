import assert from 'node:assert/strict';
import { test } from 'node:test';

import eventually from './support/eventually';
import KeyCluster from './support/KeyCluster';

test('a lost message that a member is settled is sent again', async (t) => {
  const cluster = new KeyCluster(3);
  t.after(() => cluster.close());
  const [first, second] = cluster.nodes;
  let lost = 0;
  cluster.shouldDropMessage = (from, to, message) => {
    if (lost > 0 || from !== first || to !== second || message.kind !== 'keySettled') return false;
    lost += 1;
    return true;
  };
  cluster.publish();
  await eventually('every member to know that all others are settled', async () => (
    cluster.nodes.every((node) => node.task.isWhole) ? true : undefined
  ));
  assert.equal(lost, 1);
});
