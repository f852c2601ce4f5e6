/** Options of every command that calls the operators' API. */
const clientOptions = {
  url: { type: 'string' },
  'token-file': { type: 'string' },
} as const;

export default clientOptions;
