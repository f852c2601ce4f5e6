import type UserProfile from './UserProfile';

/** The simulated deployments. */
const profiles: readonly UserProfile[] = [
  {
    name: 'staveshare',
    regions: ['munster', 'leinster', 'connacht'],
    dataCentresPerRegion: 2,
    entriesPerDataCentre: 3,
    slots: 2,
    regionLatencyMs: 0.5,
    remoteLatencyMs: 8,
    services: [
      { name: 'listing', instances: 24, idempotentShare: 1 },
      { name: 'ledger', instances: 12, idempotentShare: 0.5 },
      { name: 'intake', instances: 12, idempotentShare: 0 },
    ],
  },
  {
    name: 'tainan',
    regions: ['tainan', 'kaohsiung', 'chiayi'],
    dataCentresPerRegion: 2,
    entriesPerDataCentre: 3,
    slots: 4,
    regionLatencyMs: 1,
    remoteLatencyMs: 8,
    services: [
      { name: 'stock', instances: 20, idempotentShare: 1 },
      { name: 'ledger', instances: 12, idempotentShare: 0.5 },
      { name: 'intake', instances: 12, idempotentShare: 0 },
    ],
  },
];

export default profiles;
