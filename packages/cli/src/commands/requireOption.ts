import UsageError from './UsageError';

/**
 * Returns the value of a required option.
 *
 * @param value - parsed value, undefined if the option was not given
 * @param name - name of the option
 * @returns the given value
 * @throws UsageError if the option is missing
 */
export default function requireOption(value: string | undefined, name: string): string {
  if (value === undefined) throw new UsageError(`option --${name} is required`);
  return value;
}
