import assert from 'node:assert/strict';
import { test } from 'node:test';

import createBurnReport from '@guavayard/core/objectives/createBurnReport';
import ServiceCounter from '@guavayard/core/objectives/ServiceCounter';
import Configuration from '@guavayard/core/types/Configuration';

import renderBurnPage from '../src/renderBurnPage';
import renderBurnText from '../src/renderBurnText';
import renderStatusText from '../src/renderStatusText';

function createReport(): ReturnType<typeof createBurnReport> {
  const configuration = Configuration.parse({
    services: {
      listing: { objectives: { availability: 0.999, latency: { thresholdMs: 250, share: 0.99 } } },
    },
  });
  const counter = new ServiceCounter('listing');
  counter.add(0, { kind: 'good' }, 'munster-1', 10);
  counter.add(0, { kind: 'slow', cause: 'slow' }, 'munster-1', 300);
  counter.add(0, { kind: 'unavailable', cause: 'targetFailed' }, 'munster-2', 10);
  return createBurnReport(configuration, [
    {
      entry: 'vm-1', dataCentre: 'munster-1', uptimeMs: 7_200_000, services: [counter.read(0)],
    },
  ], ['<vm-2>']);
}

test('the text report lists objectives, alerts, causes and data centres', () => {
  const lines = renderBurnText(createReport());
  const text = lines.join('\n');
  assert.match(text, /listing +99\.9% answered +333 +333 +333 +333 +333 +page 5 min\/1 h, page 30 min\/6 h, ticket 6 h\/3 d/);
  assert.match(text, /listing +99% within 250 ms +50\.00/);
  assert.match(text, /listing +targetFailed +munster-2 +1 +1 +1 +1 +1/);
  assert.match(text, /1 entries counted; the youngest has run for 2 h/);
});

test('the HTML page is self-contained, scales to a phone and escapes names', () => {
  const page = renderBurnPage(createReport(), 'now');
  assert.ok(page.includes('width=device-width'));
  assert.ok(page.includes('&lt;vm-2&gt;') && !page.includes('<vm-2>'));
  assert.equal(/\b(?:src|href)=|url\(|@import/.exec(page), null);
  assert.equal(page.match(/<polyline/g)?.length, 2);
});

test('the status lists violated invariants and VMs that did not respond', () => {
  const lines = renderStatusText([{
    vm: 'vm-1',
    region: 'munster',
    dataCentre: 'munster-1',
    roles: ['entry'],
    program: '0.1.0',
    uptimeMs: 1000,
    memoryBytes: 80_000_000,
    version: 7,
    entry: {
      hasLease: true,
      isReady: true,
      targets: { cold: 1, ready: 2, draining: 3 },
      ownedTargets: 4,
      invariants: {
        dispatchWithoutLease: 0,
        dispatchToDataCentreOut: 0,
        coldLimitExceeded: 0,
        outsideHomeRegions: 2,
        repeatedRun: 0,
      },
      measuring: { probes: 10, usedShare: 0.005, budgetShare: 0.01 },
    },
  }], ['vm-2']);
  const text = lines.join('\n');
  assert.match(text, /INVARIANT BROKEN on vm-1: outsideHomeRegions 2 times/);
  assert.match(text, /0\.50% of 1\.00%/);
  assert.match(text, /no answer from: vm-2/);
});
