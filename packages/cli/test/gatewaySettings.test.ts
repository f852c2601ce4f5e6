import assert from 'node:assert/strict';
import { test } from 'node:test';

import GatewaySettings from '../src/settings/GatewaySettings';

const SETTINGS = {
  mode: 'declared',
  vm: {
    label: 'entry-1', ip: '127.0.0.1', region: 'near', dataCentre: 'near', sessionPort: 7000, seeds: ['127.0.0.2:7000'], isFirstStart: true,
  },
  regions: { near: 'near' },
  bounds: {
    lostVms: 1,
    targetHeartbeatSeconds: 1,
    graceSeconds: 10,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 200,
    coldBurstFactor: 1.5,
    coldSlack: 8,
    probesPerSecond: 60,
  },
};

// Guards against hedges in deployments whose settings do not ask for them.
test('the share of hedges is absent by default and between 0 and 1', () => {
  const cases: [unknown, number | undefined | 'invalid'][] = [
    [undefined, undefined], [{}, undefined],
    [{ share: 0 }, 0], [{ share: 0.05 }, 0.05], [{ share: 1 }, 1],
    [{ share: 1.1 }, 'invalid'], [{ share: -0.1 }, 'invalid'], [{ share: '0.1' }, 'invalid'],
  ];
  cases.forEach(([hedging, expected]) => {
    const settings = hedging === undefined ? SETTINGS : { ...SETTINGS, hedging };
    const parsed = GatewaySettings.safeParse(settings);
    assert.equal(parsed.success ? parsed.data.hedging.share : 'invalid', expected);
  });
});
