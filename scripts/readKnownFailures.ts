import { existsSync, readFileSync } from 'node:fs';

import type KnownFailure from './KnownFailure';

const FILE = 'KNOWN-RED.txt';
const TEST_LINE = /^test: (.+)$/m;

/**
 * Reads the known test failures. Entries are separated by blank lines and have a line `test: NAME`.
 *
 * @returns the entries
 */
export default function readKnownFailures(): KnownFailure[] {
  if (!existsSync(FILE)) return [];
  return readFileSync(FILE, 'utf8').split(/\n\s*\n/).flatMap((text) => {
    const name = TEST_LINE.exec(text)?.[1];
    return name === undefined ? [] : [{ test: name.trim(), text: text.trim() }];
  });
}
