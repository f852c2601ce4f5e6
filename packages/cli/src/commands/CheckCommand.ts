import type Command from './Command';
import ExitCode from './ExitCode';
import loadSettings from './loadSettings';
import parseOptions from './parseOptions';
import print from './print';
import requireOption from './requireOption';

/** `guavayard check`: validates a settings file without starting any role. */
export default class CheckCommand implements Command {
  readonly name = 'check';

  readonly summary = 'validate a settings file';

  readonly usage = '--settings FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, { settings: { type: 'string' } });
    const settings = await loadSettings(requireOption(values.settings, 'settings'));
    if (settings === undefined) return ExitCode.failed;
    print(`${settings.vm.name}: settings are valid`);
    return ExitCode.ok;
  }
}
