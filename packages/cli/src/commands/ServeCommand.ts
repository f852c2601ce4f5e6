import runGateway from '../gateway/runGateway';
import readGatewaySettings from '../settings/readGatewaySettings';
import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import printError from './printError';
import requireOption from './requireOption';
import waitForSignal from './waitForSignal';

/** `guavayard serve`: runs the roles of a VM of a system that is run by declarations. */
export default class ServeCommand implements Command {
  readonly name = 'serve';

  readonly summary = 'run the roles of a VM whose system is run by declarations';

  readonly usage = '--settings FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, { settings: { type: 'string' } });
    const path = requireOption(values.settings, 'settings');
    const settings = await readGatewaySettings(path);
    if (settings.err) {
      printError(settings.val);
      return ExitCode.failed;
    }
    const stopped = waitForSignal();
    const vm = await runGateway(path, settings.val);
    if (vm.err) {
      printError(vm.val);
      process.exit(ExitCode.failed);
    }
    await stopped;
    await vm.val.stop();
    // Other VMs may hold connections open for as long as the process lives.
    return process.exit(ExitCode.ok);
  }
}
