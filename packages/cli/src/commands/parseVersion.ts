import UsageError from './UsageError';

/**
 * Parses an option that holds a version.
 *
 * @param value - value as given
 * @param name - name of the option
 * @returns the version
 * @throws UsageError if it is no version
 */
export default function parseVersion(value: string, name: string): number {
  if (/^\d{1,15}$/.test(value)) return Number(value);
  throw new UsageError(`--${name}: expected a version, found "${value}"`);
}
