import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import printResult from './printResult';

/** `guavayard show`: prints the latest accepted configuration and its version. */
export default class ShowCommand implements Command {
  readonly name = 'show';

  readonly summary = 'print the latest configuration and its version';

  readonly usage = '--url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, clientOptions);
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    return printResult(await client.configuration());
  }
}
