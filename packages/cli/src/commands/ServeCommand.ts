import runGateway from '../gateway/runGateway';
import processStop from '../run/processStop';
import readGatewaySettings from '../settings/readGatewaySettings';
import readWhenWhole from '../settings/readWhenWhole';
import type Command from './Command';
import ExitCode from './ExitCode';
import parseOptions from './parseOptions';
import printError from './printError';
import requireOption from './requireOption';

/** `guavayard serve`: runs the roles of this VM in declared mode. */
export default class ServeCommand implements Command {
  readonly name = 'serve';

  readonly summary = 'run the roles of this VM in a system that is configured by declarations';

  readonly usage = '--settings FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, { settings: { type: 'string' } });
    const path = requireOption(values.settings, 'settings');
    const settings = await readWhenWhole(
      async () => readGatewaySettings(path),
      (reason) => printError(`tried again for a moment: ${reason}`),
    );
    if (settings.err) {
      printError(settings.val);
      return ExitCode.failed;
    }
    const vm = await runGateway(path, settings.val, processStop);
    if (vm.err) {
      printError(vm.val);
      process.exit(ExitCode.failed);
    }
    await processStop.wait();
    await vm.val.stop();
    // Exits explicitly, because connections of other VMs would keep the process alive.
    return process.exit(ExitCode.ok);
  }
}
