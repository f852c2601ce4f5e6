/**
 * Creates the key of what calls without a version of their own are about.
 *
 * @param kind - whether it is a data centre or a target
 * @param name - name of the data centre, or id of the target
 * @returns the key
 */
export default function createSubjectKey(kind: 'dataCentre' | 'target', name: string): string {
  return `${kind} ${name}`;
}
