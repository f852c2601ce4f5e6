import assert from 'node:assert/strict';
import { test } from 'node:test';

import type CheckedDispatch from '../src/invariants/CheckedDispatch';
import DispatchChecker from '../src/invariants/DispatchChecker';
import Configuration from '../src/types/Configuration';
import type KnownTarget from '../src/types/KnownTarget';
import type VersionedConfiguration from '../src/types/VersionedConfiguration';

const LATEST: VersionedConfiguration = {
  version: 1,
  configuration: Configuration.parse({
    services: { ledger: {} },
    dataCentres: {
      'munster-1': { region: 'munster', state: 'in' },
      'munster-2': { region: 'munster', state: 'out' },
    },
  }),
};

const TARGET: KnownTarget = {
  id: 'target-1',
  service: 'ledger',
  dataCentre: 'munster-1',
  address: '127.0.0.1:1',
  slots: 2,
  connectionLimit: 260,
  startId: 'start',
  state: 'ready',
  timeToLiveMs: 1000,
  owner: 'vm-1',
};

function createDispatch(
  target: Partial<KnownTarget> = {},
  overrides: Partial<CheckedDispatch> = {},
): CheckedDispatch {
  return {
    record: {
      requestId: 'r',
      startedAtMs: 0,
      serviceName: 'ledger',
      homeRegions: undefined,
      targetDataCentre: undefined,
      failure: undefined,
      isRelayed: false,
    },
    match: {
      routeName: 'ledger', serviceName: 'ledger', service: { timeoutMs: 1000 }, homeRegions: undefined,
    },
    target: { ...TARGET, ...target },
    isIdempotent: false,
    idempotencyKey: undefined,
    ...overrides,
  };
}

function runAll(
  dispatches: readonly CheckedDispatch[],
  evidence: 'refused' | 'failed' | undefined,
): string[] {
  const breaches: string[] = [];
  const checker = new DispatchChecker('vm-1', () => LATEST, (kind) => breaches.push(kind));
  dispatches.forEach((dispatch) => {
    const end = checker.begin(dispatch);
    if (evidence !== undefined) end(evidence);
  });
  breaches.forEach((kind) => assert.equal(checker.counts[kind as 'repeatedRun'] > 0, true));
  return breaches;
}

const { match } = createDispatch();
const repeated = createDispatch();
const cold = { state: 'cold' } as const;

interface BreachCase {
  readonly name: string;
  readonly dispatches: readonly CheckedDispatch[];
  readonly evidence?: 'refused' | 'failed';
  readonly breaches: readonly string[];
}

const CASES: readonly BreachCase[] = [
  { name: 'a valid dispatch is no breach', dispatches: [createDispatch()], breaches: [] },
  {
    name: 'a dispatch to a data centre that is out is a breach',
    dispatches: [createDispatch({ dataCentre: 'munster-2' })],
    breaches: ['dispatchToDataCentreOut'],
  },
  {
    name: 'a dispatch outside the home regions is a breach',
    dispatches: [createDispatch({}, { match: { ...match, homeRegions: ['leinster'] } })],
    breaches: ['outsideHomeRegions'],
  },
  {
    name: 'the owner of a cold target may fill its slots',
    dispatches: [createDispatch(cold), createDispatch(cold)],
    breaches: [],
  },
  {
    name: 'a dispatch to a cold target without a free slot is a breach',
    dispatches: [createDispatch(cold), createDispatch(cold), createDispatch(cold)],
    breaches: ['coldLimitExceeded'],
  },
  {
    name: 'a dispatch to a cold target of another owner is a breach',
    dispatches: [createDispatch({ ...cold, owner: 'vm-2' })],
    breaches: ['coldLimitExceeded'],
  },
  {
    name: 'a finished request releases its slot on a cold target',
    dispatches: [createDispatch(cold), createDispatch(cold), createDispatch(cold)],
    evidence: 'failed',
    breaches: [],
  },
  {
    name: 'a second run of one request is a breach', dispatches: [repeated, repeated], evidence: 'failed', breaches: ['repeatedRun'],
  },
  {
    name: 'a retry after a refusal is not a second run', dispatches: [repeated, repeated], evidence: 'refused', breaches: [],
  },
  {
    name: 'a second run with the same idempotency key is a breach',
    dispatches: [createDispatch({}, { idempotencyKey: 'k' }), createDispatch({}, { idempotencyKey: 'k' })],
    evidence: 'failed',
    breaches: ['repeatedRun'],
  },
  {
    name: 'an idempotent request may run more than once',
    dispatches: [1, 2].map(() => createDispatch(
      {},
      { isIdempotent: true, record: repeated.record },
    )),
    evidence: 'failed',
    breaches: [],
  },
];

CASES.forEach(({
  name, dispatches, evidence, breaches,
}) => {
  test(name, () => assert.deepEqual(runAll(dispatches, evidence), breaches));
});

test('a dispatch without a lease is a breach', () => {
  const breaches: string[] = [];
  const checker = new DispatchChecker('vm-1', () => undefined, (kind) => breaches.push(kind));
  checker.begin(createDispatch());
  assert.deepEqual(breaches, ['dispatchWithoutLease']);
});
