import type ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import type OperatorClient from '@guavayard/operator/OperatorClient';

import ExitCode from './ExitCode';
import print from './print';
import printError from './printError';
import waitUntilInForce from './waitUntilInForce';

/**
 * Submits a patch and prints the outcome.
 *
 * @param client - client of the operators' API
 * @param patch - the patch
 * @param shouldWait - whether to wait until the patch is in force on every entry
 * @returns the exit code
 */
export default async function submitPatch(
  client: OperatorClient,
  patch: ConfigurationPatch,
  shouldWait: boolean,
): Promise<number> {
  const accepted = await client.submit(patch);
  if (accepted.err) {
    printError(accepted.val);
    return ExitCode.failed;
  }
  print(`accepted as version ${accepted.val}`);
  if (!shouldWait) return ExitCode.ok;
  const inForce = await waitUntilInForce(client, accepted.val);
  if (inForce.err) {
    printError(inForce.val);
    return ExitCode.failed;
  }
  print(`version ${inForce.val} is in force everywhere`);
  return ExitCode.ok;
}
