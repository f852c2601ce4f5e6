/** Thrown if the arguments on the command line are invalid. */
export default class UsageError extends Error {
  override readonly name = 'UsageError';
}
