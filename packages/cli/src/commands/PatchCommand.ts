import { readFile } from 'node:fs/promises';

import ConfigurationPatch from '@guavayard/core/types/ConfigurationPatch';
import describeIssues from '@guavayard/core/types/describeIssues';

import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import parseVersion from './parseVersion';
import printError from './printError';
import requireOption from './requireOption';
import submitPatch from './submitPatch';

async function readOperations(path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'));
  } catch (err) {
    printError(`${path}: ${(err as Error).message}`);
    return undefined;
  }
}

/** `guavayard patch`: submits a JSON patch against a version of the configuration. */
export default class PatchCommand implements Command {
  readonly name = 'patch';

  readonly summary = 'submit a JSON patch (RFC 6902) against a version of the configuration';

  readonly usage = 'FILE --base VERSION --id ID [--wait] --url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values, positionals } = parseOptions(args, {
      ...clientOptions, base: { type: 'string' }, id: { type: 'string' }, wait: { type: 'boolean' },
    }, 1);
    const base = parseVersion(requireOption(values.base, 'base'), 'base');
    const id = requireOption(values.id, 'id');
    const client = await createClient(values);
    const operations = await readOperations(positionals[0] ?? '');
    if (client === undefined || operations === undefined) return ExitCode.failed;
    const input = { id, base, operations };
    const patch = ConfigurationPatch.safeParse(input);
    if (!patch.success) {
      describeIssues(patch.error, input).forEach(printError);
      return ExitCode.failed;
    }
    return submitPatch(client, patch.data, values.wait === true);
  }
}
