import versionFourSchemas from './versionFourSchemas';

/**
 * Hashes of the schemas in builds that tell version 5: those of version 4, what it adds, and what
 * it extends by fields and values that are sent only to VMs of that version.
 */
const presentSchemas = {
  ...versionFourSchemas,
  protocolVersion: 5,
  messages: {
    ...versionFourSchemas.messages,
    consensus: '91989e8c5d75',
    controlCall: '14401ca981f2',
    controlAnswer: '64f8d1deeab3',
    registryView: '17db272eec82',
    registryUpdate: 'cea6fb151192',
    relayFailure: 'b60426193714',
    currencyAsk: 'f32ded838fa9',
    currencyAnswer: 'b610f474b89c',
    readPointAsk: '2fdc50182f46',
    readPoint: 'bfd43d6d44f2',
    quotaUsage: '684425662aed',
    quotaConfirm: '4ac6fe065b26',
    quotaState: 'a4fcc7100df9',
    quotaTotals: 'a3ec53f03e75',
    quotaHistory: '3fb199c490c9',
    quotaShares: '310569419f36',
    rolloutCounts: 'ddc4709a7645',
  },
  records: {
    ...versionFourSchemas.records,
    snapshot: 'd9464ac25847',
    append: 'ce6576a892e8',
  },
} as const;

export default presentSchemas;
