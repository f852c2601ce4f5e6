import UsageError from './UsageError';

/**
 * Parses an option that holds a version of the configuration.
 *
 * @param value - value of the option
 * @param name - name of the option
 * @returns the version
 * @throws UsageError if it is not a number of at most 15 digits
 */
export default function parseVersion(value: string, name: string): number {
  if (/^\d{1,15}$/.test(value)) return Number(value);
  throw new UsageError(`--${name}: expected a version, found "${value}"`);
}
