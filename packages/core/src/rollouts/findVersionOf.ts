/**
 * @param target - a registered target
 * @returns its version, the empty text if it tells none
 */
export default function findVersionOf(
  { version }: { readonly version?: string | undefined },
): string {
  return version ?? '';
}
