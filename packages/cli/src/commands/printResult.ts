import type { Result } from 'ts-results';

import ExitCode from './ExitCode';
import print from './print';
import printError from './printError';

/**
 * Prints a result as JSON, or its error message.
 *
 * @param result - result of a call to the operators' API
 * @returns the exit code
 */
export default function printResult(result: Result<unknown, string>): number {
  if (result.err) {
    printError(result.val);
    return ExitCode.failed;
  }
  print(JSON.stringify(result.val, null, 2));
  return ExitCode.ok;
}
