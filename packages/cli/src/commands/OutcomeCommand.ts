import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import parseVersion from './parseVersion';
import print from './print';
import printError from './printError';
import requireOption from './requireOption';

/** `guavayard outcome`: tells what became of a patch whose answer was lost. */
export default class OutcomeCommand implements Command {
  readonly name = 'outcome';

  readonly summary = 'tell whether a patch was accepted, for an operator who lost the answer';

  readonly usage = 'ID --base VERSION --url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values, positionals } = parseOptions(args, {
      ...clientOptions, base: { type: 'string' },
    }, 1);
    const base = parseVersion(requireOption(values.base, 'base'), 'base');
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    const answer = await client.outcome(positionals[0] ?? '', base);
    if (answer.err) {
      printError(answer.val);
      return ExitCode.failed;
    }
    const { outcome, version } = answer.val;
    const lines = {
      accepted: `accepted as version ${version}`,
      superseded: `never will be accepted: version ${version} is another patch`,
      undecided: `not yet decided: the version is ${version}; sending the patch again is safe`,
    };
    print(lines[outcome]);
    return ExitCode.ok;
  }
}
