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
  },
} as const;

export default presentSchemas;
