/** A small deployment: five control machines and three entries in the zones of three regions. */
const smallSite = {
  regions: {
    'tn-anping': 'tainan',
    'tn-yongkang': 'tainan',
    'ks-zuoying': 'kaohsiung',
    'ks-fengshan': 'kaohsiung',
    'cy-east': 'chiayi',
    'cy-west': 'chiayi',
  },
  controls: [
    { ip: '127.40.0.1', zone: 'tn-anping', role: 'control' },
    { ip: '127.40.0.2', zone: 'ks-zuoying', role: 'control' },
    { ip: '127.40.0.3', zone: 'cy-east', role: 'control' },
    { ip: '127.40.0.4', zone: 'tn-yongkang', role: 'control' },
    { ip: '127.40.0.5', zone: 'ks-fengshan', role: 'control' },
  ],
  entries: [
    { ip: '127.40.1.1', zone: 'tn-anping', role: 'entry' },
    { ip: '127.40.1.2', zone: 'ks-zuoying', role: 'entry' },
    { ip: '127.40.1.3', zone: 'cy-east', role: 'entry' },
  ],
  /** Bounds of the site `tmclw-gate`, under the names of the settings template. */
  bounds: {
    lostVms: 2,
    targetHeartbeatSeconds: 1.5,
    graceSeconds: 6,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 62,
    coldBurstFactor: 1.5,
    coldSlack: 5,
    probesPerSecond: 60,
  },
};

export default smallSite;
