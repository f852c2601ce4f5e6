import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import parseVersion from './parseVersion';
import print from './print';
import printError from './printError';
import requireOption from './requireOption';

/** `guavayard outcome`: prints the outcome of a patch whose response was lost. */
export default class OutcomeCommand implements Command {
  readonly name = 'outcome';

  readonly summary = 'print whether a patch was accepted, in case its response was lost';

  readonly usage = 'ID --base VERSION --url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values, positionals } = parseOptions(args, {
      ...clientOptions, base: { type: 'string' },
    }, 1);
    const base = parseVersion(requireOption(values.base, 'base'), 'base');
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    const response = await client.outcome(positionals[0] ?? '', base);
    if (response.err) {
      printError(response.val);
      return ExitCode.failed;
    }
    const { outcome, version } = response.val;
    const lines = {
      accepted: `accepted as version ${version}`,
      superseded: `never will be accepted: version ${version} is another patch`,
      undecided: `not yet decided: the version is ${version}; sending the patch again is safe`,
    };
    print(lines[outcome]);
    return ExitCode.ok;
  }
}
