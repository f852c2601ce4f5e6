import assert from 'node:assert/strict';
import { test } from 'node:test';

import type LoadSharing from '@guavayard/core/scheduling/LoadSharing';
import type LoadReport from '@guavayard/core/types/LoadReport';

import LoadReportExchange from '../src/load/LoadReportExchange';
import encodeFrame from '../src/session/encodeFrame';
import type VmIdentity from '../src/session/VmIdentity';

/** Required upper bound of the control traffic of one node. */
const MAX_BYTES_PER_SECOND = 13_000;
const TICK_MS = 5;
const SECONDS = 60;
const LOADS = 8;

const PEER: VmIdentity = {
  name: 'entry-2', region: 'munster', dataCentre: 'munster-1', startId: 's', roles: ['entry'], address: '127.0.0.1:1',
};

/** Always has a report to send, and records the calls that it receives. */
class EagerSharing implements LoadSharing {
  readonly calls: string[] = [];

  collectReport(): LoadReport {
    return new Uint8Array(LOADS * 3);
  }

  applyReport(entryName: string): void {
    this.calls.push(`report of ${entryName}`);
  }

  discardEntryLoads(entryName: string): void {
    this.calls.push(`forget ${entryName}`);
  }
}

test('load reports stay within the byte budget when every tick has a report', () => {
  [1, 5, 20].forEach((peers) => {
    let nowMs = 0;
    let bytes = 0;
    let reports = 0;
    const exchange = new LoadReportExchange('munster', {
      broadcastInRegion: (message) => {
        bytes += encodeFrame(message).length * peers;
        reports += 1;
        return peers;
      },
    }, new EagerSharing(), () => nowMs);
    while (nowMs < SECONDS * 1000) {
      exchange.tick();
      nowMs += TICK_MS;
    }
    assert.ok(bytes / SECONDS <= MAX_BYTES_PER_SECOND, `${bytes / SECONDS} B/s to ${peers} peers`);
    assert.ok(reports > SECONDS);
    assert.equal(exchange.sentBytes, bytes);
  });
});

test('applies reports of the own region and forgets an entry when its session closes', () => {
  const sharing = new EagerSharing();
  const exchange = new LoadReportExchange('munster', { broadcastInRegion: () => 0 }, sharing, () => 0);
  const message = { kind: 'load', report: new Uint8Array() } as const;
  exchange.onEntryMessage(PEER, message);
  exchange.onEntryMessage({ ...PEER, name: 'entry-3', region: 'leinster' }, message);
  exchange.onEntryClose(PEER);
  assert.deepEqual(sharing.calls, ['report of entry-2', 'forget entry-2']);
});
