import readSettings from '../settings/readSettings';
import type Settings from '../settings/Settings';
import printError from './printError';

/**
 * Reads the settings file and prints all errors in it.
 *
 * @param path - path of the settings file
 * @returns the settings, or undefined if there are errors
 */
export default async function loadSettings(path: string): Promise<Settings | undefined> {
  const settings = await readSettings(path);
  if (settings.ok) return settings.val;
  settings.val.forEach(printError);
  return undefined;
}
