import protocolVersion from '@guavayard/vm/session/protocolVersion';

import buildId from '../buildId';
import programVersion from '../programVersion';
import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';

/** `guavayard version`: prints the version of the program. */
export default class VersionCommand implements Command {
  readonly name = 'version';

  readonly summary = 'print the version of this program';

  readonly usage = '';

  async run(args: string[]): Promise<number> {
    parseOptions(args, {});
    print(`guavayard ${programVersion}, build ${buildId}, messages ${protocolVersion}`);
    return ExitCode.ok;
  }
}
