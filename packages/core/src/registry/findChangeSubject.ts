import createSubjectKey from './createSubjectKey';
import type RegistryChange from './RegistryChange';

/**
 * Finds what a change without a version of its own is about.
 *
 * @param change - the change
 * @returns a key of the data centre or the target, undefined for changes that are ordered otherwise
 */
export default function findChangeSubject(change: RegistryChange): string | undefined {
  if (change.kind === 'evacuate' || change.kind === 'restore') {
    return createSubjectKey('dataCentre', change.dataCentre);
  }
  return change.kind === 'withdraw' ? createSubjectKey('target', change.targetId) : undefined;
}
