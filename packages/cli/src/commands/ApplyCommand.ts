import createDeclaredPatch from '@guavayard/core/configuration/createDeclaredPatch';
import describeChanges from '@guavayard/core/configuration/describeChanges';

import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';
import printError from './printError';
import readDeclaration from './readDeclaration';
import submitPatch from './submitPatch';

/** `guavayard apply`: submits the patch that makes the configuration equal to a declaration. */
export default class ApplyCommand implements Command {
  readonly name = 'apply';

  readonly summary = 'make the configuration equal to a declaration (JSON or TOML), showing the changes first';

  readonly usage = 'FILE [--dry-run] [--wait] --url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values, positionals } = parseOptions(args, {
      ...clientOptions, 'dry-run': { type: 'boolean' }, wait: { type: 'boolean' },
    }, 1);
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    const declared = await readDeclaration(positionals[0] ?? '');
    if (declared.err) {
      declared.val.forEach(printError);
      return ExitCode.failed;
    }
    const current = await client.configuration();
    if (current.err) {
      printError(current.val);
      return ExitCode.failed;
    }
    const patch = createDeclaredPatch(current.val, declared.val);
    if (patch.operations.length === 0) {
      print(`no changes: version ${current.val.version} is as declared`);
      return ExitCode.ok;
    }
    print(`changes to version ${current.val.version}:`);
    describeChanges(current.val.configuration, patch).forEach(print);
    if (values['dry-run'] === true) return ExitCode.ok;
    return submitPatch(client, patch, values.wait === true);
  }
}
