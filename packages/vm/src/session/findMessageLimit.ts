import frameLimits from './frameLimits';

/**
 * Finds the maximum size of a message by its kind.
 *
 * @param value - the decoded message, not validated yet
 * @returns the limit in bytes
 */
export default function findMessageLimit(value: unknown): number {
  const { messageBytes, defaultMessageBytes } = frameLimits;
  if (typeof value !== 'object' || value === null || !('kind' in value)) return defaultMessageBytes;
  const { kind } = value;
  if (typeof kind !== 'string' || !Object.hasOwn(messageBytes, kind)) return defaultMessageBytes;
  return messageBytes[kind] ?? defaultMessageBytes;
}
