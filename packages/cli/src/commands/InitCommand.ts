import createReplica from '@guavayard/disk/createReplica';
import DataFolder from '@guavayard/disk/DataFolder';

import type Command from './Command';
import ExitCode from './ExitCode';
import loadSettings from './loadSettings';
import parseOptions from './parseOptions';
import print from './print';
import printError from './printError';
import requireOption from './requireOption';

/** `guavayard init`: creates the data folder of the first control VM. */
export default class InitCommand implements Command {
  readonly name = 'init';

  readonly summary = 'create the data folder of a new system on its first control VM';

  readonly usage = '--settings FILE';

  async run(args: string[]): Promise<number> {
    const { values } = parseOptions(args, { settings: { type: 'string' } });
    const settings = await loadSettings(requireOption(values.settings, 'settings'));
    if (settings === undefined) return ExitCode.failed;
    if (settings.disk === undefined) {
      printError('init requires the section [disk]');
      return ExitCode.failed;
    }
    const folder = new DataFolder(settings.disk.folder);
    try {
      await folder.prepare();
      if ((await folder.list()).length > 0) throw new Error('the folder is not empty');
      const { log } = await createReplica(folder, settings.vm.name, true);
      await log.close();
    } catch (err) {
      printError(`disk.folder: ${folder.path}: ${(err as Error).message}`);
      return ExitCode.failed;
    }
    print(`made ${folder.path}`);
    return ExitCode.ok;
  }
}
