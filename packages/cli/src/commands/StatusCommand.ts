import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import printResult from './printResult';

/** `guavayard status`: prints the state of the system. */
export default class StatusCommand implements Command {
  readonly name = 'status';

  readonly summary = 'print the state of the system';

  readonly usage = '--url URL --token-file FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, clientOptions);
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    return printResult(await client.status());
  }
}
