import { performance } from 'node:perf_hooks';

import { decode } from 'cbor-x';

import DispatchChecker from '@guavayard/core/invariants/DispatchChecker';
import ObjectiveRecorder from '@guavayard/core/objectives/ObjectiveRecorder';
import type RequestRecord from '@guavayard/core/objectives/RequestRecord';
import findCandidates from '@guavayard/core/routing/findCandidates';
import matchRoute from '@guavayard/core/routing/matchRoute';
import LoadAwareScheduler from '@guavayard/core/scheduling/LoadAwareScheduler';
import applyPatch from '@guavayard/core/configuration/applyPatch';
import Configuration from '@guavayard/core/types/Configuration';
import type KnownTarget from '@guavayard/core/types/KnownTarget';
import VmMessage from '@guavayard/vm/messages/VmMessage';
import encodeFrame from '@guavayard/vm/session/encodeFrame';

import createConfigurationOperations from './createConfigurationOperations';
import measureTime from './measureTime';
import type CapacityFigure from './CapacityFigure';

const ROUNDS = 50_000;
/** Targets per service expected in two years: 1,300 targets over 37 services. */
const TARGETS_PER_SERVICE = 35;
const FRAME_HEADER_BYTES = 4;
const LAST_ROW_COUNT = 1;

const EMPTY = { version: 0, configuration: Configuration.parse({}) };
const LATEST = applyPatch(EMPTY, { id: 'first', base: 0, operations: createConfigurationOperations() }).unwrap();
const MATCH = matchRoute(LATEST.configuration, '/service-5/read/1', undefined).unwrap();
const FROM = { region: 'munster', dataCentre: 'dc-0' };

const TARGETS = Array.from({ length: TARGETS_PER_SERVICE }, (_, index): KnownTarget => ({
  id: `target-${index}`,
  service: 'service-5',
  dataCentre: `dc-${index % 7}`,
  address: '127.0.0.1:1',
  slots: 4,
  connectionLimit: 260,
  startId: 'start',
  state: 'ready',
  timeToLiveMs: 3000,
  owner: 'vm-1',
}));

function createRecord(): RequestRecord {
  return {
    requestId: 'r',
    startedAtMs: performance.now(),
    serviceName: 'service-5',
    homeRegions: undefined,
    targetDataCentre: 'dc-0',
    failure: undefined,
    isRelayed: false,
  };
}

function measureScheduling(): number {
  const scheduler = new LoadAwareScheduler({
    entryName: 'vm-1',
    clock: () => performance.now(),
    random: Math.random,
    listener: { onWarm() {} },
    findCandidates: ({ match }) => findCandidates(LATEST.configuration, TARGETS, match, FROM),
  });
  return measureTime(ROUNDS, () => {
    const deadlineMs = performance.now() + 30_000;
    scheduler.schedule({
      match: MATCH, deadlineMs, isIdempotent: true, purpose: 'first', triedTargetIds: [],
    }, (decision) => {
      if (decision.ok) decision.val.finish({ evidence: 'answered', status: 200, loadHeader: undefined });
    });
  });
}

function measureMessage(message: VmMessage): { bytes: number; microseconds: number } {
  const { length } = encodeFrame(message);
  const microseconds = measureTime(ROUNDS / 10, () => {
    VmMessage.parse(decode(encodeFrame(message).subarray(FRAME_HEADER_BYTES)));
  });
  return { bytes: length, microseconds };
}

/**
 * Measures scheduling decisions and message coding of an entry, in this process.
 *
 * @returns the figures
 */
export default function measureDecisions(): CapacityFigure[] {
  const recorder = new ObjectiveRecorder(() => performance.now(), () => LATEST.configuration);
  const checker = new DispatchChecker('vm-1', () => LATEST, () => undefined);
  const [target] = TARGETS;
  if (target === undefined) return [];
  const recording = measureTime(ROUNDS, () => recorder.record(createRecord(), 200, true));
  const checking = measureTime(ROUNDS, () => checker.begin({
    record: createRecord(), match: MATCH, target, isIdempotent: false, idempotencyKey: undefined,
  })('answered'));
  const matching = measureTime(ROUNDS, () => matchRoute(LATEST.configuration, '/service-36/home/1', undefined));
  const patching = measureTime(ROUNDS / 50, () => applyPatch(LATEST, {
    id: 'x', base: LATEST.version, operations: [{ op: 'replace', path: '/dataCentres/dc-6/state', value: 'out' }],
  }));
  const alive = measureMessage({ kind: 'targetsAlive' });
  const configuration = measureMessage({ kind: 'configuration', latest: LATEST });
  const [counts] = recorder.read().slice(-LAST_ROW_COUNT);
  return [
    { name: 'entry: counting a finished request', value: recording, unit: 'us' },
    { name: 'entry: checking a dispatch', value: checking, unit: 'us' },
    { name: 'entry: matching a route among 74', value: matching, unit: 'us' },
    { name: `entry: scheduling among ${TARGETS_PER_SERVICE} targets`, value: measureScheduling(), unit: 'us' },
    { name: 'message: confirming all held targets', value: alive.bytes, unit: 'B' },
    { name: 'message: encoding, decoding and checking it', value: alive.microseconds, unit: 'us' },
    { name: 'message: the configuration', value: configuration.bytes, unit: 'B' },
    { name: 'message: encoding, decoding and checking it', value: configuration.microseconds, unit: 'us' },
    { name: 'control: applying and checking a patch', value: patching, unit: 'us' },
    { name: 'entry: counts of one service in a report', value: JSON.stringify(counts).length, unit: 'B' },
  ];
}
