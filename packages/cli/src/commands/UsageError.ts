/** The words on the command line are wrong. */
export default class UsageError extends Error {
  override readonly name = 'UsageError';
}
