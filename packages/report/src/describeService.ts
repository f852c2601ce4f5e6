/**
 * Names the service of a row.
 *
 * @param service - its name, undefined for requests that failed before a service was known
 * @returns the name for people
 */
export default function describeService(service: string | undefined): string {
  return service ?? '(no service)';
}
