import assert from 'node:assert/strict';
import { test } from 'node:test';

import DataCentreRamp from '../src/limits/DataCentreRamp';
import Configuration from '../src/types/Configuration';
import SchedulerRig from './support/SchedulerRig';

function configure(state: 'in' | 'out'): Configuration {
  return Configuration.parse({ dataCentres: { 'munster-1': { region: 'munster', state } } });
}

test('the share of a returning data centre grows over time to its full capacity', () => {
  const ramp = new DataCentreRamp();
  ramp.observe(configure('in'), 0);
  assert.equal(ramp.shareOf('munster-1', 0), 1);
  ramp.observe(configure('out'), 1000);
  ramp.observe(configure('in'), 2000);
  const shares = [2000, 4000, 7000, 12_000].map((nowMs) => ramp.shareOf('munster-1', nowMs));
  assert.deepEqual(shares, [0.05, 0.2, 0.5, 1]);
});

test('a returning data centre gets a small share of the attempts at first', () => {
  const rig = new SchedulerRig('entry-1');
  for (let index = 0; index < 40; index += 1) rig.addTarget(`back-${index}`);
  for (let index = 0; index < 40; index += 1) rig.addTarget(`other-${index}`, { dataCentre: 'munster-2' });
  rig.scheduler.observeConfiguration(configure('out'));
  rig.scheduler.observeConfiguration(configure('in'));
  const ids = Array.from({ length: 80 }, () => rig.assign().target.id);
  assert.ok(ids.filter((id) => id.startsWith('back')).length <= 8);
});
