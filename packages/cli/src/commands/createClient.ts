import OperatorClient from '@guavayard/operator/OperatorClient';

import readSecret from '../settings/readSecret';
import printError from './printError';
import requireOption from './requireOption';

interface ClientOptions {
  readonly url?: string | undefined;
  readonly 'token-file'?: string | undefined;
}

/**
 * Creates the client of the operators' API from the options of a command.
 *
 * @param options - the options `--url` and `--token-file`
 * @returns the client, or undefined if the token cannot be read
 * @throws UsageError if an option is missing
 */
export default async function createClient(
  options: ClientOptions,
): Promise<OperatorClient | undefined> {
  const url = requireOption(options.url, 'url');
  const token = await readSecret(requireOption(options['token-file'], 'token-file'), '--token-file');
  if (token.ok) return new OperatorClient(url, token.val);
  printError(token.val);
  return undefined;
}
