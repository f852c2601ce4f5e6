import { writeFile } from 'node:fs/promises';

import type BurnReport from '@guavayard/core/objectives/BurnReport';
import renderBurnPage from '@guavayard/report/renderBurnPage';
import renderBurnText from '@guavayard/report/renderBurnText';

import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';
import printError from './printError';
import printResult from './printResult';

async function writePage(path: string, report: BurnReport): Promise<number> {
  try {
    await writeFile(path, renderBurnPage(report, new Date().toISOString()));
  } catch (err) {
    printError(`--page: ${path} cannot be written: ${(err as NodeJS.ErrnoException).code}`);
    return ExitCode.failed;
  }
  print(`wrote ${path}`);
  return ExitCode.ok;
}

/** `guavayard report`: prints the error budget burn rates of each service. */
export default class ReportCommand implements Command {
  readonly name = 'report';

  readonly summary = 'print the error budget burn rates of each service, and their causes';

  readonly usage = '--url URL --token-file FILE [--json | --page FILE]';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, {
      ...clientOptions, json: { type: 'boolean' }, page: { type: 'string' },
    });
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    const report = await client.readBurnReport();
    if (report.err || values.json === true) return printResult(report);
    if (values.page !== undefined) return writePage(values.page, report.val);
    renderBurnText(report.val).forEach(print);
    return ExitCode.ok;
  }
}
