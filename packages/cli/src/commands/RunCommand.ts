import processStop from '../run/processStop';
import runVm from '../run/runVm';
import type Command from './Command';
import ExitCode from './ExitCode';
import loadSettings from './loadSettings';
import parseOptions from './parseOptions';
import printError from './printError';
import requireOption from './requireOption';

/** `guavayard run`: runs the roles of this VM until SIGTERM or SIGINT. */
export default class RunCommand implements Command {
  readonly name = 'run';

  readonly summary = 'run the roles of this VM until SIGTERM or SIGINT';

  readonly usage = '--settings FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, { settings: { type: 'string' } });
    const settings = await loadSettings(requireOption(values.settings, 'settings'));
    if (settings === undefined) return ExitCode.failed;
    processStop.startServing();
    const vm = await runVm(settings);
    if (vm.err) {
      printError(vm.val);
      // Listeners and timers of roles that have started would keep the process alive. Exiting is
      // safe: no request was accepted, and control syncs its writes before it acts on them.
      process.exit(ExitCode.failed);
    }
    await processStop.wait();
    await vm.val.stop();
    return ExitCode.ok;
  }
}
