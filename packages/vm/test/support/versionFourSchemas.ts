import releasedSchemas from './releasedSchemas';

/**
 * Hashes of the schemas in builds that tell version 4: those of version 3, and what it adds. They
 * never change.
 */
const versionFourSchemas = {
  ...releasedSchemas,
  protocolVersion: 4,
  messages: {
    ...releasedSchemas.messages,
    targetCrashed: '7173d510cc61',
    requestAnswered: 'da01e6183fe1',
  },
} as const;

export default versionFourSchemas;
