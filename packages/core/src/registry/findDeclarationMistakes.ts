import type Declaration from './Declaration';

/** Longest timeout of a route, in milliseconds: ten minutes. */
const MAX_TIMEOUT_MS = 600_000;

/**
 * Looks for what makes a declaration unusable.
 *
 * @param declaration - the declaration
 * @returns one sentence a mistake; none if it is valid
 */
export default function findDeclarationMistakes(declaration: Declaration): string[] {
  const mistakes: string[] = [];
  const places = new Set<string>();
  Object.entries(declaration.routes).forEach(([name, route]) => {
    const complain = (text: string): void => {
      mistakes.push(`route "${name}": ${text}`);
    };
    const unknown = route.backends.filter(({ service }) => !(service in declaration.services));
    unknown.forEach(({ service }) => complain(`no service "${service}"`));
    const weights = route.backends.reduce((sum, { weight }) => sum + weight, 0);
    if (!(weights > 0)) complain('the weights add up to 0');
    if (!(route.timeoutMs > 0) || route.timeoutMs > MAX_TIMEOUT_MS) {
      complain('the timeout must be more than 0 and at most ten minutes');
    }
    if (!(route.maxAttempts >= 1)) complain('at least one attempt is needed');
    if (!route.pathPrefix.startsWith('/')) complain('the path prefix must begin with "/"');
    if (route.host === '') complain('the host is empty');
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) complain('another route has the same host and path prefix');
    places.add(place);
  });
  return mistakes;
}
