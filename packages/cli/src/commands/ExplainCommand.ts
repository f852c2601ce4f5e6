import { readFile } from 'node:fs/promises';

import explainRequest from '@guavayard/report/explainRequest';

import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';
import printError from './printError';
import UsageError from './UsageError';

/** `guavayard explain`: reconstructs from logs how one request was handled. */
export default class ExplainCommand implements Command {
  readonly name = 'explain';

  readonly summary = 'explain from the logs of entries how one request was handled';

  readonly usage = 'ID FILE...';

  async run(args: string[]): Promise<number> {
    const { positionals } = parseOptions(args, {}, 'any');
    const [id, ...files] = positionals;
    if (id === undefined || files.length === 0) {
      throw new UsageError('explain requires a request id and at least one log file');
    }
    const logs = await Promise.all(files.map(async (file) => readFile(file, 'utf8')));
    const explanation = explainRequest(logs.flatMap((log) => log.split('\n')), id);
    if (explanation.length === 0) {
      printError(`no line of these files mentions request "${id}"; its line may have been suppressed`);
      return ExitCode.failed;
    }
    print(explanation.join('\n'));
    return ExitCode.ok;
  }
}
