/**
 * Returns the display name of the service of a row.
 *
 * @param service - its name, undefined for requests that failed before a service was known
 * @returns the name, or a placeholder if there is none
 */
export default function describeService(service: string | undefined): string {
  return service ?? '(no service)';
}
