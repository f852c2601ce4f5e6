import { readFile } from 'node:fs/promises';

import explainRequest from '@guavayard/report/explainRequest';

import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';
import printError from './printError';
import UsageError from './UsageError';

/** `guavayard explain`: tells the story of one request from logs. */
export default class ExplainCommand implements Command {
  readonly name = 'explain';

  readonly summary = 'tell from the logs of entries what was decided about one request';

  readonly usage = 'ID FILE...';

  async run(args: string[]): Promise<number> {
    const { positionals } = parseOptions(args, {}, 'any');
    const [id, ...files] = positionals;
    if (id === undefined || files.length === 0) {
      throw new UsageError('explain needs the id of a request and files of log lines');
    }
    const logs = await Promise.all(files.map(async (file) => readFile(file, 'utf8')));
    const story = explainRequest(logs.flatMap((log) => log.split('\n')), id);
    if (story.length === 0) {
      printError(`no line of these files names request "${id}"; it may be among the suppressed`);
      return ExitCode.failed;
    }
    print(story.join('\n'));
    return ExitCode.ok;
  }
}
