import { parse, TomlError } from 'smol-toml';
import { Err, Ok, type Result } from 'ts-results';

import describeIssues from '@guavayard/core/types/describeIssues';

import Settings from './Settings';

/**
 * Parses and validates the text of a settings file and collects all errors.
 *
 * @param text - TOML
 * @returns the settings, or one message per error
 */
export default function parseSettings(text: string): Result<Settings, string[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (err) {
    if (!(err instanceof TomlError)) throw err;
    const reason = err.message.split('\n')[0] ?? '';
    return Err([`line ${err.line}, column ${err.column}: ${reason}`]);
  }
  const settings = Settings.safeParse(document);
  if (!settings.success) return Err(describeIssues(settings.error, document));
  return Ok(settings.data);
}
