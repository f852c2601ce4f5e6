const MS_PER_SECOND = 1000;

/**
 * Parses the idle timeout of a `keep-alive` response header.
 *
 * @param value - value of the header
 * @returns the time after which the sender closes an idle connection, in milliseconds, or undefined
 *   if the header has no `timeout` parameter
 */
export default function parseKeepAliveTimeout(
  value: string | readonly string[] | undefined,
): number | undefined {
  const text = typeof value === 'string' ? value : value?.[0];
  const seconds = /(?:^|[\s,;])timeout=(\d+)/iu.exec(text ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}
