import UsageError from './UsageError';

/**
 * Returns the value of an option that a command cannot do without.
 *
 * @param value - value as parsed
 * @param name - name of the option
 * @returns the value
 * @throws UsageError if the option is missing
 */
export default function requireOption(value: string | undefined, name: string): string {
  if (value === undefined) throw new UsageError(`option --${name} is required`);
  return value;
}
