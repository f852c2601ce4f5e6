import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';

const VERSION = '0.1.0';

/** `guavayard version`: prints the version of the program. */
export default class VersionCommand implements Command {
  readonly name = 'version';

  readonly summary = 'print the version of this program';

  readonly usage = '';

  async run(args: string[]): Promise<number> {
    parseOptions(args, {});
    print(`guavayard ${VERSION}`);
    return ExitCode.ok;
  }
}
