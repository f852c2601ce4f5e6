import type Declaration from './Declaration';
import findService from './findService';

/** Maximum timeout of a route, in milliseconds: ten minutes. */
const MAX_TIMEOUT_MS = 600_000;

/**
 * Validates a declaration beyond its schema.
 *
 * @param declaration - the declaration
 * @returns one message per error; empty if the declaration is valid
 */
export default function findDeclarationMistakes(declaration: Declaration): string[] {
  const errors: string[] = [];
  const matchers = new Set<string>();
  Object.entries(declaration.routes).forEach(([name, route]) => {
    const addError = (text: string): void => {
      errors.push(`route "${name}": ${text}`);
    };
    const unknown = route.backends.filter(({ service }) => (
      findService(declaration, service) === undefined));
    unknown.forEach(({ service }) => addError(`no service "${service}"`));
    const totalWeight = route.backends.reduce((sum, { weight }) => sum + weight, 0);
    if (!(totalWeight > 0)) addError('the weights add up to 0');
    if (!(route.timeoutMs > 0) || route.timeoutMs > MAX_TIMEOUT_MS) {
      addError('the timeout must be more than 0 and at most ten minutes');
    }
    if (!(route.maxAttempts >= 1)) addError('at least one attempt is needed');
    if (!route.pathPrefix.startsWith('/')) addError('the path prefix must begin with "/"');
    if (route.host === '') addError('the host is empty');
    const matcher = `${route.host} ${route.pathPrefix}`;
    if (matchers.has(matcher)) addError('another route has the same host and path prefix');
    matchers.add(matcher);
  });
  return errors;
}
