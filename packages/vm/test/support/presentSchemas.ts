import releasedSchemas from './releasedSchemas';

/**
 * Hashes of the schemas in builds that tell version 5: those of version 3, and what the later
 * versions add.
 */
const presentSchemas = {
  ...releasedSchemas,
  protocolVersion: 5,
  messages: {
    ...releasedSchemas.messages,
    targetCrashed: '7173d510cc61',
    requestAnswered: 'da01e6183fe1',
    controlAnswer: '42e0f3ed78c5',
    currencyAsk: 'f32ded838fa9',
    currencyAnswer: 'b610f474b89c',
    readPointAsk: '2fdc50182f46',
    readPoint: 'bfd43d6d44f2',
    relayFailure: '9e040e538366',
    quotaUsage: '684425662aed',
    quotaConfirm: '4ac6fe065b26',
    quotaState: 'a4fcc7100df9',
    quotaTotals: 'a3ec53f03e75',
    quotaHistory: '3fb199c490c9',
    quotaShares: '310569419f36',
  },
} as const;

export default presentSchemas;
