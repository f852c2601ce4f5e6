import type Declaration from './Declaration';
import type DeclaredService from './DeclaredService';

/**
 * Finds a service of a declaration by its name, which others choose: it may be the name of a
 * property that every object has.
 *
 * @param declaration - the declaration, undefined if there is none
 * @param name - name of the service
 * @returns the service, undefined if it is not declared
 */
export default function findService(
  declaration: Declaration | undefined,
  name: string,
): DeclaredService | undefined {
  if (declaration === undefined || !Object.hasOwn(declaration.services, name)) return undefined;
  return declaration.services[name];
}
