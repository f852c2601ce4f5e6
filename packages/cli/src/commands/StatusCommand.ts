import type OperatorClient from '@guavayard/operator/OperatorClient';
import renderStatusText from '@guavayard/report/renderStatusText';

import clientOptions from './clientOptions';
import type Command from './Command';
import createClient from './createClient';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import print from './print';
import printResult from './printResult';

const WATCH_INTERVAL_MS = 2000;
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

async function printStatus(client: OperatorClient, isJson: boolean): Promise<number> {
  const overview = await client.vms();
  if (overview.err || isJson) return printResult(overview);
  renderStatusText(overview.val.vms, overview.val.silent).forEach(print);
  return ExitCode.ok;
}

async function watchStatus(client: OperatorClient): Promise<number> {
  return new Promise(() => {
    const refresh = async (): Promise<void> => {
      if (process.stdout.isTTY) process.stdout.write(CLEAR_SCREEN);
      // Errors are printed and polling continues, so that outages show up in the output.
      await printStatus(client, false);
      setTimeout(() => {
        refresh();
      }, WATCH_INTERVAL_MS);
    };
    refresh();
  });
}

/** `guavayard status`: prints the state of every VM. */
export default class StatusCommand implements Command {
  readonly name = 'status';

  readonly summary = 'print versions, leases, leader, targets and invariants of every VM';

  readonly usage = '--url URL --token-file FILE [--json | --watch]';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, {
      ...clientOptions, json: { type: 'boolean' }, watch: { type: 'boolean' },
    });
    const client = await createClient(values);
    if (client === undefined) return ExitCode.failed;
    if (values.watch === true) return watchStatus(client);
    return printStatus(client, values.json === true);
  }
}
